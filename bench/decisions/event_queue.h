#ifndef LAGOONHITCH_BENCH_DECISIONS_EVENT_QUEUE_H
#define LAGOONHITCH_BENCH_DECISIONS_EVENT_QUEUE_H

/// \file
/// A virtual clock with work that falls due.

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace lagoonhitch {

/// A virtual clock with work that falls due.
class Agenda {
public:
  /// Returns the virtual time.
  Instant now() const { return Now_; }

  /// Adds work that falls due after a delay.
  void after(Duration Delay, std::function<void()> Work) {
    Queue_.push({Now_ + Delay, ++Count_, std::move(Work)});
  }

  /// Does all work up to a time.
  void runUntil(Instant End) {
    while (!Queue_.empty() && Queue_.top().At_ <= End) {
      const Item Next = Queue_.top();
      Queue_.pop();
      Now_ = Next.At_;
      Next.Work_();
    }
    Now_ = End;
  }

private:
  struct Item {
    Instant At_;
    std::uint64_t Number_ = 0;
    std::function<void()> Work_;

    bool operator<(const Item &Other) const {
      return At_ != Other.At_ ? At_ > Other.At_ : Number_ > Other.Number_;
    }
  };

  Instant Now_{std::chrono::seconds(1000)};
  std::uint64_t Count_ = 0;
  std::priority_queue<Item> Queue_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_EVENT_QUEUE_H

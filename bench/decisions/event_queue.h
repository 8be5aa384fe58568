#ifndef LAGOONHITCH_BENCH_DECISIONS_EVENT_QUEUE_H
#define LAGOONHITCH_BENCH_DECISIONS_EVENT_QUEUE_H

/// \file
/// The event queue of a discrete-event simulation.

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace lagoonhitch {

/// Runs scheduled tasks in virtual time.
class EventQueue {
public:
  /// Returns the current virtual time.
  Instant now() const { return Now_; }

  /// Schedules a task to run after a delay.
  void after(Duration Delay, std::function<void()> Task) {
    Queue_.push({Now_ + Delay, ++LastNumber_, std::move(Task)});
  }

  /// Runs all tasks that are due by End, in order of time, and advances the
  /// clock to End.
  void runUntil(Instant End) {
    while (!Queue_.empty() && Queue_.top().DueAt_ <= End) {
      const Event Next = Queue_.top();
      Queue_.pop();
      Now_ = Next.DueAt_;
      Next.Task_();
    }
    Now_ = End;
  }

private:
  struct Event {
    Instant DueAt_;
    /// Tasks that are due at the same time run in the order of scheduling.
    std::uint64_t Number_ = 0;
    std::function<void()> Task_;

    bool operator<(const Event &Other) const {
      return DueAt_ != Other.DueAt_ ? DueAt_ > Other.DueAt_
                                    : Number_ > Other.Number_;
    }
  };

  Instant Now_{std::chrono::seconds(1000)};
  std::uint64_t LastNumber_ = 0;
  std::priority_queue<Event> Queue_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_EVENT_QUEUE_H

#ifndef LAGOONHITCH_TESTS_HISTORY_HISTORY_H
#define LAGOONHITCH_TESTS_HISTORY_HISTORY_H

/// \file
/// What happened in a concurrent run, as its observers recorded it.

#include "core/clock.h"
#include "core/outcome.h"
#include "core/types.h"

#include <compare>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Keys that have one owner at a time.
struct ShardKey {
  std::string Service_;
  ShardId Shard_ = 0;

  auto operator<=>(const ShardKey &) const = default;
};

/// What happened in a concurrent run. All times are on one clock that only
/// the observer sees.
struct History {
  /// A daemon could have served a shard from Begin_ to TopicEnd_.
  struct ServingInterval {
    std::string Owner_;
    ShardKey Shard_;
    FencingToken Token_ = 0;
    Instant Begin_;
    Instant End_;
  };

  /// An upstream has begun to run a call.
  struct Run {
    std::string Call_;
    bool NonIdempotent_ = false;
  };

  /// A caller got an answer.
  struct CallAnswer {
    std::string Call_;
    Outcome Outcome_ = Outcome::Unknown;
    /// What the caller got and what it should have got if the call ran.
    std::string Body_;
    std::string Expected_;
  };

  /// A daemon has read an assignment back from the log.
  struct Assignment {
    ShardKey Shard_;
    MemberId Owner_ = NoMember;
    FencingToken Token_ = 0;
  };

  std::vector<ServingInterval> ServingIntervals_;
  std::vector<Run> Runs_;
  std::vector<CallAnswer> Answers_;
  /// In the order in which they were read.
  std::vector<Assignment> Assignments_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_HISTORY_HISTORY_H

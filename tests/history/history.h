#ifndef LAGOONHITCH_TESTS_HISTORY_HISTORY_H
#define LAGOONHITCH_TESTS_HISTORY_HISTORY_H

/// \file
/// The recorded events of a concurrent test run.

#include "core/clock.h"
#include "core/outcome.h"
#include "core/types.h"

#include <compare>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Identifies a shard: keys of a service that have one owner at a time.
struct ShardKey {
  std::string Service_;
  ShardId Shard_ = 0;

  auto operator<=>(const ShardKey &) const = default;
};

/// The recorded events of a concurrent test run. All times are from one clock
/// that only the observer uses.
struct History {
  /// An owner served a shard from Begin_ to End_.
  struct ServingInterval {
    std::string Owner_;
    ShardKey Shard_;
    FencingToken Token_ = 0;
    Instant Begin_;
    Instant End_;
  };

  /// An upstream started to execute a call.
  struct Run {
    std::string Call_;
    /// Whether the call must not be executed more than once.
    bool NonIdempotent_ = false;
    /// The upstream's name; empty if it is not known.
    std::string Upstream_ = {};
    Instant Begin_ = Instant::min();
  };

  /// A caller received the answer to a call.
  struct CallAnswer {
    std::string Call_;
    Outcome Outcome_ = Outcome::Unknown;
    /// The received body.
    std::string Body_;
    /// The correct body if the call was executed.
    std::string Expected_;
  };

  /// A daemon read the assignment of a shard from the log.
  struct Assignment {
    ShardKey Shard_;
    MemberId Owner_ = NoMember;
    FencingToken Token_ = 0;
  };

  std::vector<ServingInterval> ServingIntervals_;
  std::vector<Run> Runs_;
  std::vector<CallAnswer> Answers_;
  /// In the order of the reads.
  std::vector<Assignment> Assignments_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_HISTORY_HISTORY_H

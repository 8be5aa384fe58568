#ifndef LAGOONHITCH_TESTS_SCHEDULE_SIMULATED_HOLDS_H
#define LAGOONHITCH_TESTS_SCHEDULE_SIMULATED_HOLDS_H

/// \file
/// Keys that a simulated upstream holds.

#include "core/clock.h"
#include "core/key_range.h"
#include "core/types.h"
#include "ownership/hold_report.h"

#include <cstdint>
#include <vector>

namespace lagoonhitch {

/// Keys that an upstream holds, or has held.
struct SimulatedHold {
  KeyRange Range_;
  FencingToken Fence_ = 0;
  Instant ExpiresAt_;
};

/// Keys that an upstream releases because a declaration left them out.
struct SimulatedRelease {
  KeyRange Range_;
  FencingToken Fence_ = 0;
  /// When its requests for the keys end.
  Instant WorkEndsAt_;
  /// When the hold would have expired; requests that run longer have no effect.
  Instant ExpiresAt_;
};

/// A heartbeat on its way to the daemon.
struct SimulatedHeartbeat {
  std::uint64_t Sequence_ = 0;
  std::int64_t StartMillis_ = 0;
  Instant SentAt_;
  HoldReport Report_;
};

/// Removes keys from holds, which are split where necessary.
void removeRange(std::vector<SimulatedHold> &Holds, const KeyRange &Range);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_SIMULATED_HOLDS_H

#ifndef LAGOONHITCH_MEMBERSHIP_UPSTREAM_WORK_H
#define LAGOONHITCH_MEMBERSHIP_UPSTREAM_WORK_H

/// \file
/// The work that an upstream has to do and its speed, as daemons report them.

#include <array>
#include <cstddef>
#include <cstdint>

namespace lagoonhitch {

/// Number of ranks whose waits are reported; the last one also stands for all
/// lower ranks.
inline constexpr std::size_t ReportedRanks = 4;

/// The work of one upstream and its speed. Work is measured in milliseconds
/// that it takes at usual speed.
struct UpstreamWork {
  /// How long work takes on this upstream on average, in percent of the usual
  /// time; zero if unknown.
  std::uint32_t SlowdownPercent_ = 0;
  /// The same as last observed; zero if unknown.
  std::uint32_t CurrentSlowdownPercent_ = 0;
  /// Responses that report a failure of the upstream, in percent of the recent
  /// ones.
  std::uint32_t FailurePercent_ = 0;
  /// What the running and the waiting requests still need, in milliseconds.
  std::uint32_t RemainingMillis_ = 0;
  /// How long a request of each rank would wait for its start if it came now,
  /// in milliseconds.
  std::array<std::uint32_t, ReportedRanks> WaitMillis_{};

  bool operator==(const UpstreamWork &) const = default;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_UPSTREAM_WORK_H

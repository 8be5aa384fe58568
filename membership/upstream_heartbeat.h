#ifndef LAGOONHITCH_MEMBERSHIP_UPSTREAM_HEARTBEAT_H
#define LAGOONHITCH_MEMBERSHIP_UPSTREAM_HEARTBEAT_H

/// \file
/// The heartbeat that an upstream sends to the daemon on its host.

#include "ownership/hold_report.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lagoonhitch {

/// One heartbeat of an upstream.
struct UpstreamHeartbeat {
  /// The upstream's identifier.
  std::string Upstream_;
  std::string Service_;
  /// The upstream's address as `ip:port`.
  std::string Address_;
  /// How many requests the upstream runs concurrently.
  std::uint32_t Slots_ = 0;
  bool Draining_ = false;
  /// Remaining time of the cold start; zero if the upstream is not cold.
  std::chrono::milliseconds ColdRemaining_{0};
  /// Start time of the upstream in milliseconds since the Unix epoch; zero if
  /// the heartbeat does not include it.
  std::int64_t StartMillis_ = 0;
  /// Increases with each heartbeat of one incarnation.
  std::uint64_t Sequence_ = 0;
  /// The keys that it holds; std::nullopt if it does not report them.
  std::optional<HoldReport> Keys_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_UPSTREAM_HEARTBEAT_H

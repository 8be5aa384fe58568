#ifndef LAGOONHITCH_MEMBERSHIP_UPSTREAM_HEARTBEAT_H
#define LAGOONHITCH_MEMBERSHIP_UPSTREAM_HEARTBEAT_H

/// \file
/// What an upstream says of itself to the daemon beside it.

#include <chrono>
#include <cstdint>
#include <string>

namespace lagoonhitch {

/// One heartbeat of an upstream.
struct UpstreamHeartbeat {
  std::string Upstream_;
  std::string Service_;
  std::string Address_;
  std::uint32_t Slots_ = 0;
  bool Draining_ = false;
  std::chrono::milliseconds ColdRemaining_{0};
  /// Calendar time of the start in milliseconds; zero if it was not told.
  std::int64_t StartMillis_ = 0;
  /// Grows with each heartbeat of one life.
  std::uint64_t Sequence_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_UPSTREAM_HEARTBEAT_H

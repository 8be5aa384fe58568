#ifndef LAGOONHITCH_MEMBERSHIP_UPSTREAM_INFO_H
#define LAGOONHITCH_MEMBERSHIP_UPSTREAM_INFO_H

/// \file
/// What an upstream announces of itself.

#include <cstdint>
#include <string>

namespace lagoonhitch {

/// What an upstream announces of itself to the daemon beside it.
struct UpstreamInfo {
  std::string Service_;
  /// Names the process; a new process announces another name.
  std::string Instance_;
  /// `ip:port` for requests.
  std::string Address_;
  /// Most requests that it runs at a time.
  std::uint32_t Slots_ = 0;
  /// Most connections that it accepts.
  std::uint32_t Connections_ = 0;
  /// Whether it compares the fencing token of each request.
  bool ChecksTokens_ = false;
  /// Whether it asks for no new work.
  bool Draining_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_UPSTREAM_INFO_H

#ifndef LAGOONHITCH_MEMBERSHIP_UPSTREAM_REGISTRY_H
#define LAGOONHITCH_MEMBERSHIP_UPSTREAM_REGISTRY_H

/// \file
/// The upstreams beside a daemon, by their announcements.

#include "core/clock.h"
#include "membership/upstream_info.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace lagoonhitch {

/// How an upstream's state changed.
enum class UpstreamChange {
  None,
  Appeared,
  Restarted,
  Draining,
  Resumed,
  Lost
};

/// The upstreams beside a daemon; at most one for each service.
struct UpstreamRegistry {
  struct Entry {
    UpstreamInfo Info_;
    Instant RenewedAt_;
    bool Lost_ = false;
  };
  std::map<std::string, Entry> Upstreams_;
};

/// Takes an announcement or its renewal.
UpstreamChange announce(UpstreamRegistry &Registry, const UpstreamInfo &Info,
                        Instant Now);

/// Marks upstreams lost whose last announcement is older than the limit.
/// \returns the services whose upstream was lost now.
std::vector<std::string> expire(UpstreamRegistry &Registry,
                                std::chrono::milliseconds Limit, Instant Now);

/// Returns the upstream of a service if it can take new work, or nullptr.
const UpstreamInfo *usableUpstream(const UpstreamRegistry &Registry,
                                   const std::string &Service);

/// Returns the slots by service for the membership record; 0 for an upstream
/// that is draining or lost.
std::map<std::string, std::uint32_t>
announcedSlots(const UpstreamRegistry &Registry);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_UPSTREAM_REGISTRY_H

#ifndef LAGOONHITCH_MEMBERSHIP_UPSTREAM_INCARNATION_H
#define LAGOONHITCH_MEMBERSHIP_UPSTREAM_INCARNATION_H

/// \file
/// What a daemon believes of the upstream beside it.

#include "core/clock.h"
#include "membership/upstream_heartbeat.h"
#include "ownership/key_ownership_state.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lagoonhitch {

/// What became of a heartbeat.
enum class HeartbeatResult {
  /// It told something new.
  Accepted,
  /// It is older than what is known; it changes nothing.
  Stale,
  /// It is not of the upstream beside this daemon.
  Mismatched,
};

/// The present life of the upstream beside a daemon.
struct UpstreamIncarnation {
  UpstreamHeartbeat LastHeartbeat_;
  Instant LastHeartbeatAt_ = Instant::min();
  /// Whether it said that it leaves, or that it has left.
  bool Draining_ = false;
  /// Whether it has ended for certain.
  bool Terminated_ = false;
  /// Whether it has been silent for too long.
  bool Unresponsive_ = false;
};

/// Takes a heartbeat.
/// \param Service, \param Address of the upstream beside this daemon.
HeartbeatResult applyHeartbeat(std::optional<UpstreamIncarnation> &Incarnation,
                               const UpstreamHeartbeat &Heartbeat,
                               const std::string &Service,
                               const std::string &Address, Instant Now);

/// Takes a farewell; returns whether it was this life's.
bool applyDeregistration(std::optional<UpstreamIncarnation> &Incarnation,
                         const std::string &Upstream);

/// A farewell of an upstream that was not heard of before, as by a daemon that
/// has just started.
struct EarlyDeregistration {
  std::string Upstream_;
  /// Calendar time at which it came.
  std::chrono::milliseconds ReceivedAt_{0};
};

/// Returns whether the life that is heard said farewell before; late heartbeats
/// of it may follow. One that began after the farewell is another.
bool wasDeregistered(const std::optional<EarlyDeregistration> &Deregistration,
                     const UpstreamHeartbeat &Heartbeat);

/// Returns what the keys depend on.
LocalUpstream
localUpstream(const std::optional<UpstreamIncarnation> &Incarnation);

/// Returns whether the upstream takes new requests.
bool acceptsRequests(const std::optional<UpstreamIncarnation> &Incarnation);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_UPSTREAM_INCARNATION_H

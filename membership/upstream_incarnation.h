#ifndef LAGOONHITCH_MEMBERSHIP_UPSTREAM_INCARNATION_H
#define LAGOONHITCH_MEMBERSHIP_UPSTREAM_INCARNATION_H

/// \file
/// The state of a daemon's local upstream.

#include "core/clock.h"
#include "membership/upstream_heartbeat.h"
#include "ownership/key_ownership_state.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lagoonhitch {

/// How a heartbeat was handled.
enum class HeartbeatResult {
  /// It updated the upstream's state.
  Accepted,
  /// It is not newer than the last one and was ignored.
  Stale,
  /// Its service or address is not that of the local upstream.
  Mismatched,
};

/// The current incarnation of the local upstream: one run of the upstream's
/// process, from its start to its end.
struct UpstreamIncarnation {
  UpstreamHeartbeat LastHeartbeat_;
  Instant LastHeartbeatAt_ = Instant::min();
  /// Whether it is draining or has deregistered.
  bool Draining_ = false;
  /// Whether its address has refused a connection since its last heartbeat. It
  /// has probably terminated, but it may also have closed only its port.
  bool RefusedConnection_ = false;
  /// Whether it counts as terminated: it has also ended its connections.
  /// Nothing that its daemon has sent can be answered any more, and nobody else
  /// sends it requests.
  bool Terminated_ = false;
  /// Whether its heartbeats timed out and its health check failed.
  bool Unresponsive_ = false;
};

/// Updates the upstream's state with a heartbeat.
/// \param Service the service of the local upstream.
/// \param Address the address of the local upstream.
HeartbeatResult applyHeartbeat(std::optional<UpstreamIncarnation> &Incarnation,
                               const UpstreamHeartbeat &Heartbeat,
                               const std::string &Service,
                               const std::string &Address, Instant Now);

/// Marks the incarnation as draining; returns whether the deregistration was
/// that of this incarnation.
bool applyDeregistration(std::optional<UpstreamIncarnation> &Incarnation,
                         const std::string &Upstream);

/// The deregistration of an upstream from which no heartbeat has been received
/// yet, for example because the daemon has just started.
struct EarlyDeregistration {
  std::string Upstream_;
  /// Time of receipt, since the Unix epoch.
  std::chrono::milliseconds ReceivedAt_{0};
};

/// Returns whether the incarnation that sent a heartbeat deregistered before:
/// its delayed heartbeats may arrive after the deregistration. An incarnation
/// that started after the deregistration is a new one.
bool wasDeregistered(const std::optional<EarlyDeregistration> &Deregistration,
                     const UpstreamHeartbeat &Heartbeat);

/// Returns the upstream's state in the form that key ownership depends on.
LocalUpstream
localUpstream(const std::optional<UpstreamIncarnation> &Incarnation);

/// Returns whether the upstream is unresponsive or refuses connections.
bool isLost(const std::optional<UpstreamIncarnation> &Incarnation);

/// Returns whether the upstream accepts new requests.
bool acceptsRequests(const std::optional<UpstreamIncarnation> &Incarnation);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_UPSTREAM_INCARNATION_H

#ifndef LAGOONHITCH_ROUTING_HOST_CHOICE_H
#define LAGOONHITCH_ROUTING_HOST_CHOICE_H

/// \file
/// Load balancing: chooses the host that runs a request to a shared service.

#include "core/clock.h"
#include "membership/fleet.h"
#include "routing/completion_estimate.h"
#include "routing/upstream_health.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace lagoonhitch {

/// Settings of chooseHost().
struct HostChoiceOptions {
  /// Added cost of an upstream in another availability zone.
  std::chrono::milliseconds ZoneCost_{40};
  /// Age of the last load information beyond which a host is chosen only if no
  /// better candidate exists.
  std::chrono::milliseconds MaxLoadAge_{1500};
  /// Processing time that is assumed for an upstream that has reported none.
  std::chrono::milliseconds InitialProcessingTime_{200};
};

/// Inputs of chooseHost() for one request.
struct HostChoice {
  std::string Service_;
  std::string OwnZone_;
  std::string OwnHost_;
  /// Hosts to which the request has been sent already.
  std::set<std::string> Tried_;
  /// The health of the service's upstreams; nullptr if unknown.
  const ServiceHealth *Health_ = nullptr;
  /// The avoided host that the request is to probe; empty for none.
  std::string Probe_;
  RequestWork Request_;
  /// Latency objective of the request; zero if unknown.
  Duration Objective_{};
};

/// Returns the estimated cost of running a request on a member's upstream, as
/// time: its expected duration under the present load plus the zone cost. If
/// the upstream reports its speed and the work of the request is known, the
/// duration is the expected time to completion, and its load counts at least as
/// much as otherwise.
Duration costOf(const FleetMember &Member, const HostChoice &Choice,
                const HostChoiceOptions &Options, Instant Now);

/// Returns the cheapest of two random hosts in the own zone and four random
/// ones in other zones. The best of all would be the same host for all entry
/// daemons with the same load reports, until the next report. Which of several
/// equally cheap hosts is chosen is random. Hosts that currently reject
/// requests, were unreachable a moment ago, have no recent load information or
/// are avoided because their upstream fails are considered only if there is no
/// other. The host to probe is chosen if it would be considered but for its
/// failures.
/// \param Random a uniformly distributed random number.
/// \returns std::nullopt if no untried upstream of the service accepts
/// requests.
std::optional<std::string> chooseHost(const Fleet &State,
                                      const HostChoice &Choice,
                                      const HostChoiceOptions &Options,
                                      std::uint64_t Random, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_HOST_CHOICE_H

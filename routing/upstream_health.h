#ifndef LAGOONHITCH_ROUTING_UPSTREAM_HEALTH_H
#define LAGOONHITCH_ROUTING_UPSTREAM_HEALTH_H

/// \file
/// Which upstreams of a service fail more often than its others, and are
/// therefore avoided by an entry daemon.

#include "core/clock.h"
#include "limits/failure_rate.h"
#include "limits/token_bucket.h"
#include "membership/fleet.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Settings of a ServiceHealth. Shares are from 0 to 1.
struct UpstreamHealthOptions {
  /// By how much an upstream's share of failed requests must exceed the median
  /// of its service to be avoided. Shares of about ten requests differ by up to
  /// 0.3 by chance if half of all requests fail.
  double AvoidFrom_ = 0.3;
  /// The same for an avoided upstream to stay avoided.
  double AvoidUntil_ = 0.15;
  /// If more than this share of a service's upstreams would be avoided, none
  /// is, as the others could not take their requests: then only the expected
  /// attempts count. At most half can exceed the median at all.
  double MaxAvoidedShare_ = 0.4;
  /// Requests per second by which all entry daemons together probe an avoided
  /// upstream.
  double ProbesPerSecond_ = 3;
  /// Added to each chance of success, so that the cost of an upstream that
  /// fails everything stays finite.
  double MinChance_ = 0.1;
  /// Time between two assessments of a service without failures of own
  /// requests.
  std::chrono::milliseconds AssessInterval_{50};
  /// How the failures of own requests are counted. Two of them make an upstream
  /// avoided if no other fails.
  FailureRateOptions Seen_{10, std::chrono::milliseconds(3000), 5};
};

/// What an entry daemon knows of the failures of one upstream.
struct UpstreamHealth {
  /// The upstream's incarnation.
  std::string Upstream_;
  /// The ends of this daemon's own requests that the upstream's load report
  /// does not cover.
  FailureRate Seen_;
  /// Share of recent requests that failed, reported or seen.
  double FailureShare_ = 0;
  /// Expected number of attempts until one succeeds, relative to the service's
  /// usual number; at least 1.
  double Attempts_ = 1;
  bool Avoided_ = false;
  /// Limits the probes while it is avoided.
  TokenBucket Probes_;
};

/// The health of a service's upstreams, by host.
struct ServiceHealth {
  std::map<std::string, UpstreamHealth> Upstreams_;
  Instant AssessedAt_ = Instant::min();
  /// Whether a request of this daemon has failed since the last assessment.
  bool FailureSeen_ = false;
};

/// An upstream that begins or ceases to be avoided.
struct HealthChange {
  std::string Host_;
  std::string Upstream_;
  bool Avoided_ = false;
  /// Share of its recent requests that failed, and the median of its service.
  double FailureShare_ = 0;
  double MedianShare_ = 0;
};

/// Counts the end of a request of this daemon.
/// \param Failed whether it failed by the upstream's own fault.
/// \param Report the load report that came with the response, if any. A failure
/// is counted only if the report does not: the daemon that sent it may be of a
/// version that does not report failures.
void addOwnRequestEnd(ServiceHealth &State, const std::string &Host,
                      bool Failed, const std::optional<LoadReport> &Report,
                      const UpstreamHealthOptions &Options, Instant Now);

/// Updates the health of a service's upstreams from the load reports and from
/// the requests of this daemon.
/// \param Random a uniformly distributed random number, by which entry daemons
/// send their first probes at different times.
/// \returns the upstreams that begin or cease to be avoided.
std::vector<HealthChange> assessUpstreams(ServiceHealth &State,
                                          const Fleet &Members,
                                          const std::string &Service,
                                          const UpstreamHealthOptions &Options,
                                          std::uint64_t Random, Instant Now);

/// Returns the avoided host that a new request is to probe, if any, and counts
/// the probe. A request that is not idempotent fails with its probe, so it is
/// used only if none has been sent for some time.
/// \param Daemons the number of daemons that may send probes.
std::optional<std::string> takeProbe(ServiceHealth &State, bool Idempotent,
                                     std::size_t Daemons,
                                     const UpstreamHealthOptions &Options,
                                     Instant Now);

/// Returns UpstreamHealth::Attempts_ of a host; 1 if nothing is known.
/// \param State nullptr if nothing is known of the service.
double expectedAttempts(const ServiceHealth *State, const std::string &Host);

/// Returns whether a host's upstream is avoided.
/// \param State nullptr if nothing is known of the service.
bool isAvoided(const ServiceHealth *State, const std::string &Host);

/// Returns the number of avoided upstreams.
std::size_t avoidedUpstreams(const ServiceHealth &State);

/// Returns the hosts whose upstreams fail more often than the others of their
/// service, according to load reports alone; none if most would be returned.
std::set<std::string> failingHosts(const Fleet &Members,
                                   const std::string &Service,
                                   const UpstreamHealthOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_UPSTREAM_HEALTH_H

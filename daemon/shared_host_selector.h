#ifndef LAGOONHITCH_DAEMON_SHARED_HOST_SELECTOR_H
#define LAGOONHITCH_DAEMON_SHARED_HOST_SELECTOR_H

/// \file
/// Selects the hosts of requests to services that are not sharded.

#include "core/clock.h"
#include "core/event_catalog.h"
#include "daemon/gateway_result.h"
#include "daemon/site_state.h"
#include "limits/work_estimate.h"
#include "routing/host_choice.h"
#include "routing/upstream_health.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lagoonhitch {

class Metrics;
class UpstreamGateway;
struct EntryRequest;

/// Selects the hosts of requests to services that are not sharded, from what
/// load reports and results tell of their upstreams. Serving thread only.
class SharedHostSelector {
public:
  /// Logs an event that was noticed with a request.
  using EventCallback = std::function<void(
      EventId Event, const std::string &RequestId, const std::string &Details)>;

  /// \param Site the daemon's view of the site; updated by results.
  /// \param Gateway the gateway of the local upstream.
  /// \param Host the daemon's host.
  /// \param Zone the host's availability zone.
  SharedHostSelector(SiteState &Site, const UpstreamGateway &Gateway,
                     Metrics &DaemonMetrics, std::string Host, std::string Zone,
                     EventCallback LogEvent);

  /// Returns the host for the next attempt of a request; std::nullopt if there
  /// is none.
  /// \param Tried hosts to which it has been sent already.
  /// \param Random a uniformly distributed random number.
  std::optional<std::string> select(const EntryRequest &Request,
                                    const std::set<std::string> &Tried,
                                    std::uint64_t Random, Instant Now);

  /// Updates what is known of the host of a request's current attempt with the
  /// attempt's result. Also to be called for requests with a key.
  void onResult(const EntryRequest &Request, const GatewayResult &Result,
                Instant Now);

private:
  void assess(const EntryRequest &Request, ServiceHealth &Health,
              std::uint64_t Random, Instant Now);
  Duration classWork(std::uint32_t Class) const;
  void countOwnRequest(const EntryRequest &Request, const GatewayResult &Result,
                       Instant Now);

  SiteState &Site_;
  const UpstreamGateway &Gateway_;
  Metrics &DaemonMetrics_;
  std::string Host_;
  std::string Zone_;
  EventCallback LogEvent_;
  HostChoiceOptions ChoiceOptions_;
  UpstreamHealthOptions HealthOptions_;
  std::map<std::string, ServiceHealth> Health_;
  /// The work of requests by class, learned from their results.
  WorkEstimate Works_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_SHARED_HOST_SELECTOR_H

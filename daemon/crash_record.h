#ifndef LAGOONHITCH_DAEMON_CRASH_RECORD_H
#define LAGOONHITCH_DAEMON_CRASH_RECORD_H

/// \file
/// Crashes of upstreams in a daemon's view of its site.

#include "core/clock.h"
#include "core/event_catalog.h"
#include "membership/upstream_crash.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

struct GatewayRequest;
struct HeaderNames;
struct SiteState;

/// Adds a crash to the site's history and logs the requests that are
/// quarantined because of it.
void recordCrash(SiteState &Site, const UpstreamCrash &Crash, const Clock &Time,
                 const std::function<void(EventId, const std::string &)> &Log);

/// Adds a crash to the list of the local upstream's crashes, which is part of
/// the host's member record. One that is listed already gets the further
/// requests. The length of the list is limited.
void mergeCrash(std::vector<UpstreamCrash> &Crashes,
                const UpstreamCrash &Crash);

/// Returns how long a request must not be sent to an upstream; std::nullopt if
/// it may be sent.
std::optional<Duration> quarantineLeft(const SiteState &Site,
                                       const GatewayRequest &Request,
                                       const HeaderNames &Names, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_CRASH_RECORD_H

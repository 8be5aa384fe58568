#ifndef LAGOONHITCH_DAEMON_REQUEST_PREPARATION_H
#define LAGOONHITCH_DAEMON_REQUEST_PREPARATION_H

/// \file
/// Makes the request for gateways from a caller's request.

#include <cstdint>

namespace lagoonhitch {

struct EntryRequest;
struct HeaderNames;
struct RequestRouterConfig;

/// Fills in the request for gateways and the plan of a routed request.
void prepareRequest(EntryRequest &Request, const RequestRouterConfig &Config,
                    const HeaderNames &Names);

/// Makes a prepared request a call of a running one: it is chained, and takes
/// the parent's rank if that is more urgent than its own.
void markAsCall(EntryRequest &Request, std::uint32_t ParentRank);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_REQUEST_PREPARATION_H

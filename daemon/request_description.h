#ifndef LAGOONHITCH_DAEMON_REQUEST_DESCRIPTION_H
#define LAGOONHITCH_DAEMON_REQUEST_DESCRIPTION_H

/// \file
/// Describes requests and their attempts at the entry daemon in log lines.

#include "core/clock.h"

#include <string>

namespace lagoonhitch {

struct EntryRequest;
struct GatewayResult;
struct SiteState;

/// Describes the current attempt of a request.
/// \param Cause what happened to the attempt, or why its caller gets no answer.
std::string describeAttempt(const EntryRequest &Request,
                            const std::string &Cause, Instant Now);

/// Describes the end of an attempt that ran or may have run and whose result is
/// not returned to the caller, as an addition to another description.
std::string describeRun(const EntryRequest &Request,
                        const GatewayResult &Result, Instant Now);

/// Describes which request has no route in which configuration.
std::string describeMissingRoute(const EntryRequest &Request,
                                 const SiteState &Site);

/// Describes a decision about a request and the state that it is based on.
std::string describeDecision(const EntryRequest &Request,
                             const std::string &Reason, const SiteState &Site,
                             Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_REQUEST_DESCRIPTION_H

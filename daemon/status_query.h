#ifndef LAGOONHITCH_DAEMON_STATUS_QUERY_H
#define LAGOONHITCH_DAEMON_STATUS_QUERY_H

/// \file
/// Queries for the status of an attempt at the daemon that it was sent to.

#include "core/clock.h"
#include "daemon/forward_codec.h"
#include "net/http_client.h"

namespace lagoonhitch {

struct EntryRequest;

/// Returns the query for the status of the current attempt.
AttemptStatusQuery statusQueryFor(const EntryRequest &Request, Instant Now);

/// Returns the options of the call that sends a query.
HttpCallOptions statusQueryOptions();

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_STATUS_QUERY_H

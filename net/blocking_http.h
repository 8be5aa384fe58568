#ifndef LAGOONHITCH_NET_BLOCKING_HTTP_H
#define LAGOONHITCH_NET_BLOCKING_HTTP_H

/// \file
/// A blocking HTTP call, for threads without an event loop.

#include "core/clock.h"
#include "net/http_result.h"

#include <string>

namespace lagoonhitch {

/// Sends one request to `ip:port` over a new connection and blocks until the
/// call ends.
/// \param Timeout the time limit from the sending of the request; the limit for
/// connecting is that of HttpClientOptions.
HttpResult callBlocking(const Clock &Time, const std::string &Address,
                        HttpRequest Request, Duration Timeout);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_BLOCKING_HTTP_H

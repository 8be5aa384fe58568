#ifndef LAGOONHITCH_NET_BLOCKING_HTTP_H
#define LAGOONHITCH_NET_BLOCKING_HTTP_H

/// \file
/// A blocking HTTP call, for threads that have nothing else to do.

#include "core/clock.h"
#include "net/http_result.h"

#include <string>

namespace lagoonhitch {

/// Sends one request to `ip:port` over a connection of its own and waits for
/// the end of the call.
HttpResult callBlocking(const Clock &Time, const std::string &Address,
                        HttpRequest Request, Duration Timeout);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_BLOCKING_HTTP_H

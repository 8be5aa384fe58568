#ifndef LAGOONHITCH_DAEMON_REQUEST_END_H
#define LAGOONHITCH_DAEMON_REQUEST_END_H

/// \file
/// How a request ended at the upstream, for the upstream's failure rate.

#include "daemon/gateway_result.h"
#include "limits/failure_rate.h"
#include "net/http_result.h"

namespace lagoonhitch {

/// Returns how a request ended at the upstream.
/// \param Call how the call to the upstream ended.
/// \param Result the result that the gateway made of it.
/// \param TimeLeft the time until the request's deadline.
RequestEnd requestEnd(HttpCallStatus Call, const GatewayResult &Result,
                      Duration TimeLeft);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_REQUEST_END_H

#ifndef LAGOONHITCH_DAEMON_OWN_RESPONSE_H
#define LAGOONHITCH_DAEMON_OWN_RESPONSE_H

/// \file
/// Responses to callers that do not come from an upstream.

#include "core/clock.h"
#include "net/http_message.h"

#include <cstdint>
#include <string>

namespace lagoonhitch {

/// Returns a response with an error message.
HttpResponse errorResponse(unsigned Status, const std::string &Reason);

/// Returns the longest RetryAfter for rejectionResponse() with which no caller
/// retries after its deadline.
/// \param Left the time until the deadline.
Duration latestRetryAfter(Duration Left);

/// Returns the response to a request that has not run and never will.
/// \param RetryAfter when the caller may send the request again. Up to half of
/// it is added, so that callers that are rejected together do not come back
/// together.
/// \param Draw a uniformly distributed random number.
HttpResponse rejectionResponse(const std::string &Reason, Duration RetryAfter,
                               std::uint64_t Draw);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_OWN_RESPONSE_H

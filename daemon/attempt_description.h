#ifndef LAGOONHITCH_DAEMON_ATTEMPT_DESCRIPTION_H
#define LAGOONHITCH_DAEMON_ATTEMPT_DESCRIPTION_H

/// \file
/// Interprets the results of an attempt's calls, and describes them in log
/// lines.

#include "core/clock.h"
#include "daemon/forward_codec.h"
#include "net/http_result.h"
#include "routing/request_plan.h"

#include <string>

namespace lagoonhitch {

struct FleetMember;

/// Returns what a status query found.
/// \param Status how the query's call ended.
/// \param Reply the gateway's reply, if the call was completed.
AttemptLookup toAttemptLookup(HttpCallStatus Status,
                              AttemptStatusReply::Kind Reply);

/// Describes how the call of an attempt ended without a response.
const char *describeLostCall(HttpCallStatus Status);

/// Describes the status look-up after which an attempt is given up.
const char *describeLookup(AttemptLookup Lookup);

/// Describes the host that a request was last sent to, by its latest digest.
/// Empty if it has sent none.
std::string describeLastHost(const FleetMember &Member, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_ATTEMPT_DESCRIPTION_H

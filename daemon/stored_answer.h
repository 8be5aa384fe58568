#ifndef LAGOONHITCH_DAEMON_STORED_ANSWER_H
#define LAGOONHITCH_DAEMON_STORED_ANSWER_H

/// \file
/// The recorded form of a gateway's result.

#include "daemon/gateway_result.h"
#include "recovery/answer.h"

namespace lagoonhitch {

/// Returns a result as it is recorded for status queries.
AnswerPtr toStoredAnswer(const GatewayResult &Result);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_STORED_ANSWER_H

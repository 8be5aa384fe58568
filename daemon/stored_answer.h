#ifndef LAGOONHITCH_DAEMON_STORED_ANSWER_H
#define LAGOONHITCH_DAEMON_STORED_ANSWER_H

/// \file
/// The answer to an attempt, as a gateway keeps it for status queries.

#include "daemon/gateway_result.h"
#include "recovery/answer.h"

namespace lagoonhitch {

/// Returns the part of a result that is kept.
AnswerPtr toStoredAnswer(const GatewayResult &Result);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_STORED_ANSWER_H

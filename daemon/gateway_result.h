#ifndef LAGOONHITCH_DAEMON_GATEWAY_RESULT_H
#define LAGOONHITCH_DAEMON_GATEWAY_RESULT_H

/// \file
/// The result of a request at a gateway.

#include "core/clock.h"
#include "core/outcome.h"
#include "core/reject_reason.h"
#include "membership/load_digest.h"
#include "net/http_message.h"
#include "recovery/answer.h"

#include <cstdint>
#include <optional>

namespace lagoonhitch {

/// The result of a request at a gateway.
struct GatewayResult {
  /// Whether the upstream executed the request.
  Outcome Outcome_ = Outcome::Unknown;
  /// Why the request was rejected; None unless the outcome is NotRun.
  RejectReason RejectReason_ = RejectReason::None;
  /// Time until capacity is expected.
  Duration RetryAfter_{};
  /// Whether the upstream itself rejected the request.
  bool RejectedByUpstream_ = false;
  /// The upstream's load, if the gateway reports it.
  std::optional<LoadReport> Load_;
  /// The work of the run, in milliseconds at usual speed; std::nullopt if
  /// unknown.
  std::optional<std::uint32_t> RunWorkMillis_;
  /// The upstream's response, if it executed the request.
  HttpResponse Response_;
};

/// Returns the result as it is stored for status queries.
AnswerPtr toStoredAnswer(const GatewayResult &Result);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_GATEWAY_RESULT_H

#ifndef LAGOONHITCH_DAEMON_GATEWAY_RESULT_H
#define LAGOONHITCH_DAEMON_GATEWAY_RESULT_H

/// \file
/// What a door says of a request.

#include "core/clock.h"
#include "core/outcome.h"
#include "membership/load_digest.h"
#include "net/http_message.h"
#include "routing/reject_reason.h"

#include <optional>

namespace lagoonhitch {

/// What a door says of a request.
struct GatewayResult {
  Outcome Outcome_ = Outcome::Unknown;
  RejectReason RejectReason_ = RejectReason::None;
  /// When there may be room.
  Duration RetryAfter_{};
  /// Whether the upstream itself has turned the request away.
  bool RejectedByUpstream_ = false;
  /// The upstream's load, if the door tells it.
  std::optional<LoadReport> Load_;
  /// The upstream's answer, if it ran.
  HttpResponse Response_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_GATEWAY_RESULT_H

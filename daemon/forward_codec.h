#ifndef LAGOONHITCH_DAEMON_FORWARD_CODEC_H
#define LAGOONHITCH_DAEMON_FORWARD_CODEC_H

/// \file
/// How requests and answers travel between daemons.

#include "daemon/gateway_request.h"
#include "daemon/gateway_result.h"
#include "net/http_message.h"
#include "recovery/attempt_table.h"

#include <optional>
#include <string>

namespace lagoonhitch {

/// Prefix of the headers that only daemons use among themselves.
inline constexpr const char *ReservedHeaderPrefix = "Lagoonhitch-";

/// Path of the question what became of an attempt.
inline constexpr const char *AttemptStatusPath = "/lagoonhitch-fate";

/// Adds what the door must know to a request.
HttpRequest encodeForwardedRequest(const GatewayRequest &Request, Instant Now);

/// Returns whether a message from a peer is a forwarded request.
bool isForwardedRequest(const HttpRequest &Message);

/// Decodes a forwarded request; returns nothing if it is malformed.
std::optional<GatewayRequest> decodeForwardedRequest(HttpRequest Message,
                                                     Instant Now);

/// Encodes a door's answer.
HttpResponse encodeGatewayResult(GatewayResult Result);

/// Decodes a door's answer; the outcome is unknown if it is malformed.
GatewayResult decodeGatewayResult(HttpResponse Message);

/// The question what became of an attempt.
struct AttemptStatusQuery {
  RequestId Id_;
  /// The process that the attempt was sent to.
  std::uint64_t Process_ = 0;
  /// For how long the attempt may still be admitted.
  std::chrono::milliseconds StartWithin_{0};
};

/// Encodes the question.
HttpRequest encodeStatusQuery(const AttemptStatusQuery &Query);

/// Decodes the question; returns nothing if it is malformed.
std::optional<AttemptStatusQuery> decodeStatusQuery(const std::string &Target);

/// The reply to the question.
struct AttemptStatusReply {
  enum class Kind {
    /// It has not ended.
    Running,
    /// The answer is at hand, or it is proven that there will be none.
    Ended,
    /// Nothing can be said.
    Unknown,
  };
  Kind Kind_ = Kind::Unknown;
  GatewayResult Result_;
};

/// Encodes what a fate table knows.
HttpResponse encodeStatusReply(const AttemptInfo &Info);

/// Decodes the reply.
AttemptStatusReply decodeStatusReply(HttpResponse Message);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_FORWARD_CODEC_H

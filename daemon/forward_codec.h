#ifndef LAGOONHITCH_DAEMON_FORWARD_CODEC_H
#define LAGOONHITCH_DAEMON_FORWARD_CODEC_H

/// \file
/// The encoding of requests and results between daemons: HTTP messages with
/// additional headers.

#include "daemon/gateway_request.h"
#include "daemon/gateway_result.h"
#include "net/http_message.h"
#include "recovery/attempt_table.h"

#include <optional>
#include <string>

namespace lagoonhitch {

/// Prefix of lagoonhitch's own headers, which callers cannot pass to upstreams.
inline constexpr const char *ReservedHeaderPrefix = "Lagoonhitch-";

/// Path of attempt status queries.
inline constexpr const char *AttemptStatusPath = "/lagoonhitch-fate";

/// Encodes a request for a peer's gateway. Deadlines are sent as remaining
/// milliseconds from Now, since the clocks of peers differ.
HttpRequest encodeForwardedRequest(const GatewayRequest &Request, Instant Now);

/// Returns the header that a forwarded request of an attempt has. Its value has
/// more behind it.
HttpHeader forwardHeaderOf(const RequestId &Id);

/// Returns whether a peer's message is a forwarded request.
bool isForwardedRequest(const HttpRequest &Message);

/// Decodes a forwarded request that was received at Now. Returns std::nullopt
/// if it is malformed.
std::optional<GatewayRequest> decodeForwardedRequest(HttpRequest Message,
                                                     Instant Now);

/// Encodes a gateway's result.
HttpResponse encodeGatewayResult(GatewayResult Result);

/// Returns the header of a peer's response that rejects a forwarded request
/// because its body does not fit into the memory.
HttpHeader noMemoryHeader();

/// Decodes a gateway's result. Its outcome is Unknown if it is malformed.
GatewayResult decodeGatewayResult(HttpResponse Message);

/// A query for the status of an attempt.
struct AttemptStatusQuery {
  /// The attempt.
  RequestId Id_;
  /// The process ID of the daemon that the attempt was sent to, as far as the
  /// entry daemon knew. Only a query to this process rejects an attempt.
  std::uint64_t Process_ = 0;
  /// How long the attempt may still be admitted.
  std::chrono::milliseconds StartWithin_{0};
};

/// Encodes a status query.
HttpRequest encodeStatusQuery(const AttemptStatusQuery &Query);

/// Encodes an order to cancel an attempt, whose result nobody awaits any more.
HttpRequest encodeCancellation(const AttemptStatusQuery &Query);

/// Returns whether a message that decodeStatusQuery() accepts is such an order.
bool isCancellation(const HttpRequest &Message);

/// Decodes a status query from its request target. Returns std::nullopt if it
/// is malformed.
std::optional<AttemptStatusQuery> decodeStatusQuery(const std::string &Target);

/// The reply to a status query.
struct AttemptStatusReply {
  enum class Kind {
    /// The attempt has not ended.
    Running,
    /// The attempt has ended with the given result, or will never be executed.
    Ended,
    /// The status is not known.
    Unknown,
  };
  Kind Kind_ = Kind::Unknown;
  /// The attempt's result; set if it has ended.
  GatewayResult Result_;
};

/// Encodes the status of an attempt.
HttpResponse encodeStatusReply(const AttemptInfo &Info);

/// Decodes the reply to a status query. The status is Unknown if it is
/// malformed.
AttemptStatusReply decodeStatusReply(HttpResponse Message);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_FORWARD_CODEC_H

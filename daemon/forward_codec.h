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
inline constexpr const char *OwnHeaderPrefix = "Lagoonhitch-";

/// Path of the question what became of an attempt.
inline constexpr const char *FatePath = "/lagoonhitch-fate";

/// Adds what the door must know to a request.
HttpRequest encodeForward(const DoorRequest &Request, Instant Now);

/// Returns whether a message from a peer is a forwarded request.
bool isForward(const HttpRequest &Message);

/// Decodes a forwarded request; returns nothing if it is malformed.
std::optional<DoorRequest> decodeForward(HttpRequest Message, Instant Now);

/// Encodes a door's answer.
HttpResponse encodeDoorAnswer(DoorAnswer Answer);

/// Decodes a door's answer; the outcome is unknown if it is malformed.
DoorAnswer decodeDoorAnswer(HttpResponse Message);

/// The question what became of an attempt.
struct FateQuestion {
  RequestId Id_;
  /// The process that the attempt was sent to.
  std::uint64_t Process_ = 0;
  /// For how long the attempt may still be admitted.
  std::chrono::milliseconds StartWithin_{0};
};

/// Encodes the question.
HttpRequest encodeFateQuestion(const FateQuestion &Question);

/// Decodes the question; returns nothing if it is malformed.
std::optional<FateQuestion> decodeFateQuestion(const std::string &Target);

/// The reply to the question.
struct FateReply {
  enum class Kind {
    /// It has not ended.
    Running,
    /// The answer is at hand, or it is proven that there will be none.
    Settled,
    /// Nothing can be said.
    Unknown,
  };
  Kind Kind_ = Kind::Unknown;
  DoorAnswer Answer_;
};

/// Encodes what a fate table knows.
HttpResponse encodeFateReply(const AttemptInfo &Report);

/// Decodes the reply.
FateReply decodeFateReply(HttpResponse Message);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_FORWARD_CODEC_H

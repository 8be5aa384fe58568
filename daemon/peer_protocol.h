#ifndef LAGOONHITCH_DAEMON_PEER_PROTOCOL_H
#define LAGOONHITCH_DAEMON_PEER_PROTOCOL_H

/// \file
/// The HTTP form of what daemons ask each other on the request path.

#include "daemon/forwarded_request.h"
#include "recovery/fate_table.h"

#include <optional>
#include <string>

namespace lagoonhitch {

/// Identifies the process that holds a FateTable.
struct PeerStamp {
  /// Random number of the process.
  std::uint64_t Process_ = 0;
  /// The process's clock.
  Instant Now_;
};

/// Encodes a request for the peer process of that number. Headers that a
/// caller has set under the same names are replaced.
HttpRequest encodeForward(const ForwardedRequest &Forward, Duration TimeLeft,
                          std::uint64_t Process);

/// Decodes encodeForward(); nothing if it is malformed.
/// \param Process receives the process that the request is meant for.
std::optional<ForwardedRequest> decodeForward(HttpRequest Source, Instant Now,
                                              std::uint64_t &Process);

/// Encodes an answer; answers to look-ups also carry the fate.
HttpResponse encodeAnswer(const Answer &Result, const PeerStamp &Stamp);

/// Decodes the answer in a response.
AnswerPtr decodeAnswer(HttpResponse Source);

/// Encodes a question about an attempt.
HttpRequest encodeLookUp(const RequestId &Id, Instant StartBy,
                         std::uint64_t Process);

/// A question about an attempt.
struct LookUp {
  RequestId Id_;
  Instant StartBy_;
  std::uint64_t Process_ = 0;
};

/// Decodes encodeLookUp(); nothing if it is malformed.
std::optional<LookUp> decodeLookUp(const HttpRequest &Source);

/// Encodes a FateReport.
HttpResponse encodeFate(const FateReport &Report, const PeerStamp &Stamp);

/// Decodes encodeFate(); nothing if it is malformed.
std::optional<FateReport> decodeFate(HttpResponse Source);

/// Reads who has sent a response, and when.
std::optional<PeerStamp> stampOf(const HttpResponse &Source);

/// Adds who sends a response, and when.
void addStamp(HttpResponse &Target, const PeerStamp &Stamp);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_PEER_PROTOCOL_H

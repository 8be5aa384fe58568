#ifndef LAGOONHITCH_DAEMON_GATEWAY_REQUEST_H
#define LAGOONHITCH_DAEMON_GATEWAY_REQUEST_H

/// \file
/// A request as the entry daemon passes it to a gateway.

#include "core/clock.h"
#include "core/key_range.h"
#include "core/request_fingerprint.h"
#include "core/request_id.h"
#include "net/http_message.h"
#include "recovery/lost_runs.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonhitch {

struct HeaderNames;

/// A request as the entry daemon, which received it from a caller, passes it to
/// the gateway of an upstream.
struct GatewayRequest {
  /// The attempt.
  RequestId Id_;
  /// The service that executes the request.
  std::string Service_;
  /// The request's key; std::nullopt if any upstream of the service can execute
  /// it.
  std::optional<KeyId> Key_;
  /// Identifies the route, whose requests need similar work; zero if unknown.
  std::uint32_t Class_ = 0;
  /// Whether a running request waits for this one: an upstream has sent it.
  bool Chained_ = false;
  /// Priority rank; zero is the highest.
  std::uint32_t Rank_ = 0;
  /// Whether the request may be executed more than once.
  bool Idempotent_ = false;
  /// When the caller stops waiting for the response.
  Instant Deadline_;
  /// Latency objective: a later response is worth less to the caller.
  Instant ObjectiveAt_;
  /// Time from the request's arrival at the entry daemon to ObjectiveAt_.
  Duration Objective_{};
  /// When the entry daemon sent the request, by that daemon's clock; the
  /// clock's epoch if the entry daemon is the local one.
  Instant SentAt_;
  /// The estimated latest time of a status query by the entry daemon. Not
  /// reduced by the transit delay, unlike the deadline.
  Instant LatestLookup_;
  /// The caller's request without hop-by-hop headers.
  HttpRequest HttpRequest_;
};

/// Returns the fingerprint by which repetitions of a request are recognised.
RequestFingerprint fingerprintOf(const GatewayRequest &Request,
                                 const HeaderNames &Names);

/// Sets the headers with which a caller's request is forwarded.
/// \param CallerService the service of the entry daemon's upstream.
/// \param NewId the request ID if the caller sent none.
void setForwardedHeaders(GatewayRequest &Request, const HeaderNames &Names,
                         const std::string &CallerService,
                         const std::string &NewId);

/// Returns the parts of the record of a lost run that the request states.
LostRun describeLostRun(const GatewayRequest &Request,
                        const HeaderNames &Names);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_GATEWAY_REQUEST_H

#ifndef LAGOONHITCH_DAEMON_ENTRY_REQUEST_H
#define LAGOONHITCH_DAEMON_ENTRY_REQUEST_H

/// \file
/// A request at its entry daemon.

#include "core/clock.h"
#include "core/request_id.h"
#include "daemon/caller_interface.h"
#include "daemon/gateway_request.h"
#include "net/http_message.h"
#include "routing/request_plan.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

class HttpExchange;
struct AttemptStatusQuery;

/// An attempt whose gateway could not be asked about it.
struct UnresolvedAttempt {
  RequestId Id_;
  std::string Host_;
  std::uint64_t PeerProcess_ = 0;
  std::string PeerAddress_;
  Instant SentAt_;
};

/// A request that a caller has sent to this daemon, until it has its response.
struct EntryRequest {
  std::uint64_t Number_ = 0;
  const CallerInterface *Interface_ = nullptr;
  RoutedRequest Routed_;
  GatewayRequest GatewayRequest_;
  std::shared_ptr<HttpExchange> Exchange_;
  Instant ArrivedAt_;
  RequestPlan Plan_;
  std::set<std::string> TriedHosts_;
  std::uint32_t Attempt_ = 0;
  /// When the current attempt was sent.
  Instant SentAt_;
  /// Status queries sent for the current attempt.
  std::uint32_t StatusQueries_ = 0;
  /// What the latest of them found.
  std::optional<AttemptLookup> LatestLookup_;
  /// Received part of the response to the current attempt, as last checked.
  std::size_t ReceivedBytes_ = 0;
  /// The host that the latest attempt was sent to; empty before the first one.
  std::string Host_;
  std::uint64_t PeerProcess_ = 0;
  std::string PeerAddress_;
  /// All such attempts that have not been looked up again, in their order.
  std::vector<UnresolvedAttempt> Unresolved_;
  bool WaitingForOwner_ = false;
  /// Why the current attempt ended without a response of its gateway; nullptr
  /// if it has one or has not ended.
  const char *EndCause_ = nullptr;
  /// How the latest attempt that ran or may have run ended, for the log.
  std::string LastRun_;
  /// The failure that the latest attempt which ran got from its upstream.
  HttpResponse KeptFailure_;
  /// Retry-After of the latest attempt that was not executed.
  Duration LastRetryAfter_{};
  bool Done_ = false;
  std::shared_ptr<void> Call_;
  /// The status query for the current attempt, if one is in flight.
  std::shared_ptr<void> StatusQuery_;
  std::shared_ptr<void> Timer_;
  std::shared_ptr<void> DeadlineTimer_;
};

/// Returns whether an attempt has been sent and has not ended.
bool isAttemptOpen(const EntryRequest &Request);

/// Returns whether the current attempt is given up because its gateway could
/// not be asked about it.
bool isUnresolved(const EntryRequest &Request);

/// Returns the query for the status of the current attempt.
AttemptStatusQuery statusQueryFor(const EntryRequest &Request, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_ENTRY_REQUEST_H

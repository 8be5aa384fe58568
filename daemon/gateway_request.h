#ifndef LAGOONHITCH_DAEMON_GATEWAY_REQUEST_H
#define LAGOONHITCH_DAEMON_GATEWAY_REQUEST_H

/// \file
/// A request as its entry hands it to the door of an upstream.

#include "core/clock.h"
#include "core/key_range.h"
#include "core/request_id.h"
#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonhitch {

/// A request as its entry hands it to the door of an upstream.
struct GatewayRequest {
  RequestId Id_;
  std::string Service_;
  /// Nothing if any upstream of the service may run it.
  std::optional<KeyId> Key_;
  /// Zero goes first.
  std::uint32_t Rank_ = 0;
  bool Idempotent_ = false;
  /// When the caller stops waiting.
  Instant Deadline_;
  /// When the answer loses a part of its value, and the span until then from
  /// the arrival.
  Instant ObjectiveAt_;
  Duration Objective_{};
  /// When its entry sent it, by the entry's clock; the epoch if it came from no
  /// other daemon.
  Instant SentAt_;
  /// The latest that its entry may still ask for its fate, as far as is known.
  Instant LatestLookup_;
  /// The caller's request without headers of one connection.
  HttpRequest HttpRequest_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_GATEWAY_REQUEST_H

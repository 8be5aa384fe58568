#ifndef LAGOONHITCH_DAEMON_CALLER_INTERFACE_H
#define LAGOONHITCH_DAEMON_CALLER_INTERFACE_H

/// \file
/// The interface between callers and the request router.

#include "core/clock.h"
#include "core/key_range.h"
#include "core/outcome.h"
#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonhitch {

/// How a caller's request is routed.
struct RoutedRequest {
  enum class Kind {
    /// The request goes to an upstream of Service_.
    Found,
    /// No route matches the request.
    NoRoute,
    /// The service requires a key, but the request has none.
    NoKey,
    /// No configuration is known yet.
    NoConfiguration,
  };
  Kind Kind_ = Kind::NoRoute;
  /// The service that executes the request.
  std::string Service_;
  /// The request's key; std::nullopt if any upstream of the service can execute
  /// it.
  std::optional<KeyId> Key_;
  /// Whether the request may be executed more than once.
  bool Idempotent_ = false;
  /// Maximum number of attempts that run or may have run.
  std::uint32_t MaxAttempts_ = 1;
  /// Identifies the route, whose requests need similar work; zero if unknown.
  std::uint32_t Class_ = 0;
  /// Priority rank; zero is the highest.
  std::uint32_t Rank_ = 0;
  /// Time from the request's arrival to its deadline.
  Duration Timeout_{};
  /// Latency objective: a later response is worth less to the caller.
  Duration Objective_{};
  /// The caller's ID of the request, for the response and logs; empty if it
  /// gave none.
  std::string CallerRequestId_;
  /// The ID of the running request that has made this one, if that runs at the
  /// local gateway; empty if the request's ID is not that of a call.
  std::string ParentRequestId_;
};

/// Returns whether a request may run beside the earlier requests of its
/// connection: it is idempotent, or it does not run at all.
inline bool mayOverlap(const RoutedRequest &Request) {
  return Request.Kind_ != RoutedRequest::Kind::Found || Request.Idempotent_;
}

/// Determines how callers' requests are routed and which headers their
/// responses get.
class CallerInterface {
public:
  virtual ~CallerInterface() = default;

  /// Returns how a request is routed.
  /// \param Draw a uniformly distributed random number, for weighted choices.
  virtual RoutedRequest route(const HttpRequest &Request,
                              std::uint64_t Draw) const = 0;

  /// Adds headers to a response.
  /// \param FinalOutcome what is known about the execution of the request.
  virtual void addResponseHeaders(HttpResponse &Response,
                                  const RoutedRequest &Request,
                                  Outcome FinalOutcome) const = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_CALLER_INTERFACE_H

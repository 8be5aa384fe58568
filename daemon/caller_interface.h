#ifndef LAGOONHITCH_DAEMON_CALLER_INTERFACE_H
#define LAGOONHITCH_DAEMON_CALLER_INTERFACE_H

/// \file
/// What a daemon reads from callers' requests and writes on their answers.

#include "core/clock.h"
#include "core/key_range.h"
#include "core/outcome.h"
#include "net/http_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonhitch {

/// How a caller's request is to be treated.
struct RoutedRequest {
  enum class Kind {
    /// The request is to go to an upstream of Service_.
    Found,
    /// Nothing takes such requests.
    NoRoute,
    /// The request lacks its key.
    NoKey,
    /// No configuration is known yet.
    NoConfiguration,
  };
  Kind Kind_ = Kind::NoRoute;
  std::string Service_;
  std::optional<KeyId> Key_;
  bool Idempotent_ = false;
  /// Most upstreams that it may be sent to.
  std::uint32_t MaxAttempts_ = 1;
  /// Zero is the most urgent.
  std::uint32_t Rank_ = 0;
  /// Longest time until the final answer.
  Duration Timeout_{};
  /// Time within which an answer has its full value.
  Duration Objective_{};
  /// Names the request in its answer and in logs; empty if the caller did not.
  std::string CallerRequestId_;
};

/// What a daemon reads from callers' requests and writes on their answers.
class CallerInterface {
public:
  virtual ~CallerInterface() = default;

  /// Finds out how a request is to be treated.
  /// \param Draw an evenly distributed random number.
  virtual RoutedRequest route(const HttpRequest &Request,
                              std::uint64_t Draw) const = 0;

  /// Marks an answer with what is known of the request.
  virtual void addResponseHeaders(HttpResponse &Response,
                                  const RoutedRequest &Request,
                                  Outcome FinalOutcome) const = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_CALLER_INTERFACE_H

#ifndef LAGOONHITCH_LIMITS_FAILURE_RATE_H
#define LAGOONHITCH_LIMITS_FAILURE_RATE_H

/// \file
/// The share of recent requests to an upstream that failed by its own fault.

#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace lagoonhitch {

/// Settings of a FailureRate.
struct FailureRateOptions {
  /// Number of requests after which one weighs about a third of the latest, so
  /// that a busy upstream's rate follows about as many requests.
  double DecayRequests_ = 10;
  /// Time after which a request weighs about a third, so that the rate of an
  /// upstream with few requests follows the last seconds.
  std::chrono::milliseconds DecayTime_{3000};
  /// With fewer requests, the missing ones count as successes: a single failure
  /// says little, and a rate without new requests falls to zero.
  double MinRequests_ = 4;
};

/// The decayed numbers of an upstream's recent requests.
struct FailureRate {
  double Failed_ = 0;
  double Total_ = 0;
  Instant DecayedAt_ = Instant::min();
};

/// Counts a request that has ended.
/// \param Failed whether it failed by the upstream's own fault.
void addRequestEnd(FailureRate &State, bool Failed,
                   const FailureRateOptions &Options, Instant Now);

/// Returns the share of the recent requests that failed, from 0 to 1.
double failureShare(const FailureRate &State, const FailureRateOptions &Options,
                    Instant Now);

/// Returns the same in percent.
std::uint32_t failurePercent(const FailureRate &State,
                             const FailureRateOptions &Options, Instant Now);

/// How a request that was sent to an upstream has ended.
struct RequestEnd {
  enum class Kind {
    /// The upstream has run the request and sent a response.
    Answered,
    /// The connection broke, or what it carried is no response to the request.
    Broken,
    /// Anything that says nothing about the upstream's health: it rejected the
    /// request without running it, was not reached, or was not waited for.
    Other,
  };
  Kind Kind_ = Kind::Other;
  /// The HTTP status of the response.
  unsigned Status_ = 0;
  /// Time left until the request's deadline.
  Duration TimeLeft_{};
};

/// Returns whether a request failed by the upstream's own fault; std::nullopt
/// if its end does not tell. A 504 close to the deadline means that the time
/// was too short, whoever used it.
std::optional<bool> isOwnFailure(const RequestEnd &End);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_FAILURE_RATE_H

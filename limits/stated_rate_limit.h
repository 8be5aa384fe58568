#ifndef LAGOONHITCH_LIMITS_STATED_RATE_LIMIT_H
#define LAGOONHITCH_LIMITS_STATED_RATE_LIMIT_H

/// \file
/// The limit of its request rate that an upstream states in its responses.

#include "core/clock.h"

#include <optional>

namespace lagoonhitch {

/// The limit of its request rate that an upstream states in its responses.
struct StatedRateLimit {
  /// Requests per second; std::nullopt if the upstream states no limit.
  std::optional<double> PerSecond_;
  /// When the last response that stated a limit arrived.
  Instant StatedAt_ = Instant::min();
};

/// Applies what a response states. Responses may overtake each other, so one
/// without a limit ends the limit only if its request was sent after the last
/// response with one had arrived.
/// \param PerSecond the stated limit; std::nullopt for none.
/// \param SentAt when the request was sent.
/// \returns whether the limit has changed.
bool applyStatedLimit(StatedRateLimit &State, std::optional<double> PerSecond,
                      Instant SentAt, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_STATED_RATE_LIMIT_H

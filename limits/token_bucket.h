#ifndef LAGOONHITCH_LIMITS_TOKEN_BUCKET_H
#define LAGOONHITCH_LIMITS_TOKEN_BUCKET_H

/// \file
/// A token bucket, which limits a rate.

#include "core/clock.h"

namespace lagoonhitch {

/// A token bucket. Each event takes one token; tokens are refilled at a
/// constant rate.
struct TokenBucket {
  /// Tokens per second; greater than zero.
  double PerSecond_ = 1;
  /// Maximum number of tokens.
  double Burst_ = 1;
  double Tokens_ = 1;
  Instant RefilledAt_ = Instant::min();
};

/// Adds the tokens that are due since the last refill. The first call only
/// starts the time.
void refillTokens(TokenBucket &Bucket, Instant Now);

/// Returns the time until the bucket has a number of tokens, which may exceed
/// its maximum: then it is the time until as many have been taken one by one.
Duration timeToTokens(const TokenBucket &Bucket, double Tokens, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_TOKEN_BUCKET_H

#include "limits/token_bucket.h"

#include <algorithm>

namespace lagoonhitch {

void refillTokens(TokenBucket &Bucket, Instant Now) {
  if (Bucket.RefilledAt_ < Now && Bucket.RefilledAt_ != Instant::min()) {
    const std::chrono::duration<double> Elapsed = Now - Bucket.RefilledAt_;
    Bucket.Tokens_ = std::min(
        Bucket.Burst_, Bucket.Tokens_ + Elapsed.count() * Bucket.PerSecond_);
  }
  Bucket.RefilledAt_ = Now;
}

Duration timeToTokens(const TokenBucket &Bucket, double Tokens, Instant Now) {
  TokenBucket Refilled = Bucket;
  refillTokens(Refilled, Now);
  const std::chrono::duration<double> Wait(
      std::max(0.0, Tokens - Refilled.Tokens_) / Bucket.PerSecond_);
  return std::chrono::duration_cast<Duration>(Wait);
}

} // namespace lagoonhitch

#include "limits/stated_rate_limit.h"

namespace lagoonhitch {

bool applyStatedLimit(StatedRateLimit &State, std::optional<double> PerSecond,
                      Instant SentAt, Instant Now) {
  if (!PerSecond && SentAt <= State.StatedAt_)
    return false;
  if (PerSecond)
    State.StatedAt_ = Now;
  const bool Changed = State.PerSecond_ != PerSecond;
  State.PerSecond_ = PerSecond;
  return Changed;
}

} // namespace lagoonhitch

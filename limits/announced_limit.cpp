#include "limits/announced_limit.h"

namespace lagoonhitch {

bool applyAnnouncement(AnnouncedLimit &State, std::optional<double> PerSecond,
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

#include "daemon/peer_delay.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Length of a window over which the minimum delay is taken.
constexpr std::chrono::seconds Window{5};
/// Maximum difference of the speed of two clocks.
constexpr double MaxClockDrift = 0.02;
/// Windows without a message after which a peer is removed.
constexpr int MaxIdleWindows = 12;

} // namespace

Duration excessDelay(PeerDelays &Delays, std::uint64_t Process, Instant SentAt,
                     Instant Now) {
  const Duration Delay = Now - SentAt;
  const auto [Found, Added] =
      Delays.try_emplace(Process, PeerDelay{Delay, Delay, Now + Window});
  PeerDelay &Base = Found->second;
  if (Now >= Base.WindowEnd_) {
    const Duration Drift = std::chrono::duration_cast<Duration>(
        (Now - Base.WindowEnd_ + Window) * MaxClockDrift);
    Base.PreviousMin_ = std::min(Base.Min_, Base.PreviousMin_ + Drift);
    Base.Min_ = Delay;
    Base.WindowEnd_ = Now + Window;
  }
  Base.Min_ = std::min(Base.Min_, Delay);
  return Delay - std::min(Base.Min_, Base.PreviousMin_);
}

void removeIdlePeers(PeerDelays &Delays, Instant Now) {
  std::erase_if(Delays, [Now](const auto &Entry) {
    return Now > Entry.second.WindowEnd_ + Window * MaxIdleWindows;
  });
}

} // namespace lagoonhitch

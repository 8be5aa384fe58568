#include "membership/contact_clock.h"

#include "membership/fleet.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Time between two ticks from which the process is taken to have been
/// suspended.
constexpr std::chrono::milliseconds MaxTickGap{700};

} // namespace

void tickContactClock(ContactClock &State, Instant Now) {
  if (Now - State.LastTickAt_ > MaxTickGap)
    State.ListeningSince_ = Now;
  State.LastTickAt_ = Now;
}

Duration silenceOf(const ContactClock &State, const FleetMember &Member,
                   Instant Now) {
  return Now - std::max({Member.LastDigestAt_, Member.FirstSeenAt_,
                         State.ListeningSince_});
}

} // namespace lagoonhitch

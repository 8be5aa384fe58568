#ifndef LAGOONHITCH_MEMBERSHIP_CONTACT_CLOCK_H
#define LAGOONHITCH_MEMBERSHIP_CONTACT_CLOCK_H

/// \file
/// Measures for how long other hosts have been silent.

#include "core/clock.h"

namespace lagoonhitch {

struct FleetMember;

/// The time during which this daemon has been able to receive digests.
struct ContactClock {
  /// Since when it has handled events without a long pause.
  Instant ListeningSince_;
  /// The latest tick.
  Instant LastTickAt_;
};

/// Starts measuring anew if this process has been suspended or very slow since
/// the last tick: digests that have arrived meanwhile may not have been handled
/// yet. To be called several times a second.
void tickContactClock(ContactClock &State, Instant Now);

/// Returns how long a member has been silent while this daemon was listening.
Duration silenceOf(const ContactClock &State, const FleetMember &Member,
                   Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_CONTACT_CLOCK_H

#ifndef LAGOONHITCH_OWNERSHIP_KEY_HOLDS_H
#define LAGOONHITCH_OWNERSHIP_KEY_HOLDS_H

/// \file
/// What the upstream beside a daemon holds or may hold, in line with the table.

#include "core/clock.h"
#include "ownership/key_ownership_state.h"
#include "ownership/key_table.h"

namespace lagoonhitch {

/// Returns whether an acknowledged showing of this daemon's epoch is younger
/// than the lease.
bool hasLease(const KeyOwnershipState &State, Instant Now);

/// Returns whether the upstream beside this daemon may hold keys.
bool isUpstreamAlive(const KeyOwnershipState &State);

/// Returns this daemon as the owner of keys.
KeyOwner localOwner(const KeyOwnershipState &State);

/// Returns the longest that a span may last by another clock.
Duration withMaxDrift(const KeyOwnershipState &State, Duration Span);

/// Returns whether some of these keys are on their way to another owner.
bool isMoving(const KeyOwnershipState &State, const KeyRange &Range);

/// Brings moves and holds in line with the table; what is held by the same
/// fence stays.
void syncHolds(KeyOwnershipState &State);

/// From when on a late grant of these keys can't hold them any more.
Instant residualGrantsEnd(const KeyOwnershipState &State,
                          const KeyRange &Range);

/// From when on the upstream surely holds none of these keys.
Instant holdsEnd(const KeyOwnershipState &State, const KeyRange &Range);

/// Returns whether a grant of some of these keys has no answer yet; it may
/// still take effect.
bool isGrantInFlight(const KeyOwnershipState &State, const KeyRange &Range);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_HOLDS_H

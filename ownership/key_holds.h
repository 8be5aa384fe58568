#ifndef LAGOONHITCH_OWNERSHIP_KEY_HOLDS_H
#define LAGOONHITCH_OWNERSHIP_KEY_HOLDS_H

/// \file
/// Which keys the upstream on this host holds or may hold.

#include "core/clock.h"
#include "ownership/key_ownership_state.h"
#include "ownership/key_table.h"

namespace lagoonhitch {

/// Returns whether this host's lease is valid: the store has acknowledged its
/// current epoch, and the lease has not expired.
bool hasLease(const KeyOwnershipState &State, Instant Now);

/// Returns whether the upstream on this host is alive and thus may hold keys.
bool isUpstreamAlive(const KeyOwnershipState &State);

/// Returns this host's upstream and epoch as an owner of keys.
KeyOwner localOwner(const KeyOwnershipState &State);

/// Returns the longest time, by this host's clock, that may pass until another
/// clock has advanced by a span.
Duration withMaxDrift(const KeyOwnershipState &State, Duration Span);

/// Returns whether some of these keys are being moved to another owner.
bool isMoving(const KeyOwnershipState &State, const KeyRange &Range);

/// Updates moves and holds to match the table. Holds with an unchanged fencing
/// token are kept.
void syncHolds(KeyOwnershipState &State);

/// Returns the time from which no residual grant of these keys can be in
/// effect; Instant::min() if there is none.
Instant residualGrantsEnd(const KeyOwnershipState &State,
                          const KeyRange &Range);

/// Records which keys of the known table an earlier process of this daemon may
/// have granted: those with other epochs of this host. To be called for each
/// newer table.
void noteEarlierProcessKeys(KeyOwnershipState &State, Instant Now);

/// Returns the time from which no grant of an earlier process of this daemon
/// can be in effect or take effect for some of these keys; Instant::min() if it
/// made none.
Instant earlierGrantsEnd(const KeyOwnershipState &State, const KeyRange &Range);

/// Returns the time from which the upstream is guaranteed to hold none of these
/// keys.
Instant holdsEnd(const KeyOwnershipState &State, const KeyRange &Range);

/// Returns whether a grant of some of these keys awaits its result and may
/// still take effect.
bool isGrantInFlight(const KeyOwnershipState &State, const KeyRange &Range);

/// Returns whether keys keep their owner if the pending append, if any,
/// succeeds. It may take effect at any time, so keys that it reassigns must not
/// be granted again.
bool isKeptByPendingAppend(const KeyOwnershipState &State, const KeyRow &Row);

/// Returns the duration of a grant: as configured, but not beyond the end of
/// the lease by the upstream's clock.
Duration grantDuration(const KeyOwnershipState &State, Instant Now);

/// Returns whether the upstream has been told to release a key, or has released
/// it.
bool isBeingReleased(const KeyOwnershipState &State, KeyId Key);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_HOLDS_H

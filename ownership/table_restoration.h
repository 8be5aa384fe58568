#ifndef LAGOONHITCH_OWNERSHIP_TABLE_RESTORATION_H
#define LAGOONHITCH_OWNERSHIP_TABLE_RESTORATION_H

/// \file
/// Keeps the owners of keys exclusive when the store returns from an older
/// copy, which lacks the newest tables and epochs.
///
/// In the new era of the store, hosts go on holding the keys that they hold
/// under a lease of the era before. They write rows that the restored table
/// lacks once more, and renew their leases only when the store has them. Once
/// all leases of the era before have ended, a host declares the rows valid in
/// the new era. Until then nobody else gains keys, and a row whose fencing
/// token is of an earlier era is never granted to an upstream that does not
/// hold it: a higher token may have been issued in the part that was lost.

#include "ownership/key_ownership_state.h"
#include "ownership/key_peer.h"

#include <optional>

namespace lagoonhitch {

/// Handles a reply of the store in a later era than the known one. What was
/// pending in the earlier one is dropped.
void onStoreEra(KeyOwnershipState &State, StoreEra Era, Instant Now);

/// Handles a newer table that was read or pushed.
void applyReadTable(KeyOwnershipState &State, const KeyTable &Table);

/// Returns whether the known rows are valid in the store's present era, so that
/// keys may be moved and reassigned.
bool areRowsValid(const KeyOwnershipState &State);

/// Returns whether an acknowledged epoch extends the lease: the store has the
/// rows of all held keys, so that others can only replace them after a
/// takeover.
bool mayRenewLease(const KeyOwnershipState &State);

/// Gives up keys whose rows the store lacks once their lease has ended.
void dropHoldsWithoutLease(KeyOwnershipState &State, Instant Now);

/// Returns whether the upstream holds all keys of a row under its fencing
/// token.
bool holdsRow(const KeyOwnershipState &State, const KeyRow &Row);

/// Returns whether all leases of the era before have ended, as far as this
/// daemon knows.
bool haveEarlierLeasesEnded(const KeyOwnershipState &State, Instant Now);

/// Returns the table to append while the stored one is not valid in the present
/// era; std::nullopt if none is due.
std::optional<KeyTable> planRestoredTable(const KeyOwnershipState &State,
                                          const KeyOwnershipInputs &Inputs,
                                          Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_TABLE_RESTORATION_H

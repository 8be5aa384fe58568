#ifndef LAGOONHITCH_OWNERSHIP_KEY_PLAN_H
#define LAGOONHITCH_OWNERSHIP_KEY_PLAN_H

/// \file
/// Plans the next key table of a service.

#include "core/clock.h"
#include "ownership/key_ownership_state.h"
#include "ownership/key_peer.h"
#include "ownership/key_table.h"

#include <cstddef>
#include <optional>

namespace lagoonhitch {

/// Returns this host's rank, the number of delay steps by which it acts later
/// than the first host.
std::size_t rankOf(const KeyOwnershipState &State,
                   const KeyOwnershipInputs &Inputs);

/// Returns the table that this daemon may append now: the initial table, or the
/// current one with this host's rows updated or reassigned, its completed moves
/// applied, and the rows of unresponsive hosts with an expired lease
/// reassigned.
/// \returns std::nullopt if there is nothing to change.
std::optional<KeyTable> planTable(KeyOwnershipState &State,
                                  const KeyOwnershipInputs &Inputs,
                                  Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_PLAN_H

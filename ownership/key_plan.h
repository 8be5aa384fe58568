#ifndef LAGOONHITCH_OWNERSHIP_KEY_PLAN_H
#define LAGOONHITCH_OWNERSHIP_KEY_PLAN_H

/// \file
/// Plans the next table of a service.

#include "core/clock.h"
#include "ownership/key_ownership_state.h"
#include "ownership/key_peer.h"
#include "ownership/key_table.h"

#include <cstddef>
#include <optional>

namespace lagoonhitch {

/// Returns how many steps later than others this host acts.
std::size_t rankOf(const KeyOwnershipState &State,
                   const KeyOwnershipInputs &Inputs);

/// Returns the table that this daemon may append now: the first one, one with
/// its own rows renewed or given away, with its moves that are safe, and with
/// the rows of silent hosts whose lease is over.
/// \returns nothing if there is nothing to change.
std::optional<KeyTable> planTable(KeyOwnershipState &State,
                                  const KeyOwnershipInputs &Inputs,
                                  Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_PLAN_H

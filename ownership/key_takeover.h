#ifndef LAGOONHITCH_OWNERSHIP_KEY_TAKEOVER_H
#define LAGOONHITCH_OWNERSHIP_KEY_TAKEOVER_H

/// \file
/// Takeover of the keys of hosts that are suspected to have failed.

#include "core/clock.h"
#include "ownership/key_action.h"
#include "ownership/key_ownership_state.h"
#include "ownership/key_peer.h"

#include <cstdint>
#include <string>

namespace lagoonhitch {

/// Largest step by which an epoch is raised after the store has rejected it.
inline constexpr std::uint64_t MaxEpochStep = 1U << 20U;

/// Returns the highest epoch that a table names for a host, 0 if none.
std::uint64_t highestEpoch(const KeyTable &Table, const std::string &Host);

/// Starts and ends the takeovers of other owners of keys, and adds the appends
/// of higher epochs for them that are due.
void updateTakeovers(KeyOwnershipState &State, const KeyOwnershipInputs &Inputs,
                     KeyActions &Actions, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_TAKEOVER_H

#ifndef LAGOONHITCH_OWNERSHIP_KEY_BALANCE_H
#define LAGOONHITCH_OWNERSHIP_KEY_BALANCE_H

/// \file
/// Distributes keys among hosts according to their load.

#include "ownership/key_ownership_options.h"
#include "ownership/key_peer.h"
#include "ownership/key_placement.h"
#include "ownership/key_table.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Distributes ranges among the hosts that accept keys, so that their loads are
/// about equal.
/// \param Except a host that receives no keys; empty for none.
/// \returns the placements, empty if no host accepts keys.
std::vector<KeyPlacement> placeKeys(const std::vector<KeyRange> &Ranges,
                                    const KeyOwnershipInputs &Inputs,
                                    const std::string &Except);

/// Returns the minimum time between two rounds of moves. It is shorter while a
/// host has more requests than it can run.
Duration rebalanceInterval(const std::string &Host,
                           const KeyOwnershipInputs &Inputs,
                           const KeyOwnershipOptions &Options);

/// Finds a range to move from a busy host to a less loaded one.
/// \returns std::nullopt if the host is not busy or the loads are close enough.
std::optional<KeyPlacement> findMove(const std::vector<KeyRow> &OwnRows,
                                     const std::string &Host,
                                     const KeyOwnershipInputs &Inputs,
                                     const KeyOwnershipOptions &Options);

/// Finds the ranges to move at the same time, each to a different host. On a
/// large site, a host whose load is many times its capacity would otherwise
/// need many moves one after the other. For a host with a hot key these are the
/// moves of findHotKeyMoves().
std::vector<KeyPlacement> findMoves(const std::vector<KeyRow> &OwnRows,
                                    const std::string &Host,
                                    const KeyOwnershipInputs &Inputs,
                                    const KeyOwnershipOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_BALANCE_H

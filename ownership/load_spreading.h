#ifndef LAGOONHITCH_OWNERSHIP_LOAD_SPREADING_H
#define LAGOONHITCH_OWNERSHIP_LOAD_SPREADING_H

/// \file
/// Spreads the excess load of a host over several hosts of a large site.

#include "ownership/key_peer.h"
#include "ownership/key_placement.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// Returns the moves by which a host that is clearly more loaded than the mean
/// gives its excess to other hosts, each of which is filled to about the same
/// load. Hosts that are busy at the same time prefer different receivers.
/// \param MaxMoves maximum number of moves, each to a different host.
std::vector<KeyPlacement> spreadExcess(const std::vector<KeyRow> &OwnRows,
                                       const std::string &Host,
                                       const KeyOwnershipInputs &Inputs,
                                       std::size_t MaxMoves);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_LOAD_SPREADING_H

#ifndef LAGOONHITCH_OWNERSHIP_HOT_KEY_PLACEMENT_H
#define LAGOONHITCH_OWNERSHIP_HOT_KEY_PLACEMENT_H

/// \file
/// Placement of a key whose requests alone use up the capacity of its owner.

#include "ownership/key_part.h"
#include "ownership/key_peer.h"
#include "ownership/key_placement.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Returns the busiest key of a host if its rate alone uses up nearly all of
/// the host's capacity. Moving parts of the host's rows by their rates does not
/// help such a host: the key fits on no other host either.
std::optional<BusyKey> findHotKey(const std::vector<KeyRow> &OwnRows,
                                  const std::string &Host,
                                  const KeyOwnershipInputs &Inputs);

/// Returns the moves for a host with a hot key. If another host has clearly
/// more capacity, the key alone moves there. Otherwise the host's other busy
/// keys move to hosts with a low load, and the hot key stays. A host that
/// gained keys a short time ago does not move its hot key, so that the key does
/// not move back and forth.
std::vector<KeyPlacement> findHotKeyMoves(const std::vector<KeyRow> &OwnRows,
                                          const std::string &Host,
                                          const KeyOwnershipInputs &Inputs,
                                          const BusyKey &Hot);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_HOT_KEY_PLACEMENT_H

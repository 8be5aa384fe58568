#ifndef LAGOONHITCH_OWNERSHIP_KEY_BALANCE_H
#define LAGOONHITCH_OWNERSHIP_KEY_BALANCE_H

/// \file
/// Decides who is to get which keys.

#include "ownership/key_ownership_options.h"
#include "ownership/key_peer.h"
#include "ownership/key_table.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Keys and the host that is to get them.
struct KeyPlacement {
  KeyRange Range_;
  std::string Host_;
};

/// Divides ranges among the hosts that may be given keys, so that their loads
/// come close to each other.
/// \param Except a host that gets none.
/// \returns nothing if there is no host to take them.
std::vector<KeyPlacement> placeKeys(const std::vector<KeyRange> &Ranges,
                                    const KeyOwnershipInputs &Inputs,
                                    const std::string &Except);

/// Finds a range that is better moved from a busy host to one that is less
/// so; nothing if the loads are close enough.
std::optional<KeyPlacement> findMove(const std::vector<KeyRow> &OwnRows,
                                     const std::string &Host,
                                     const KeyOwnershipInputs &Inputs,
                                     const KeyOwnershipOptions &Options);

/// Finds the ranges that are better moved at the same time, each to another
/// host. On a large site a host that gets many times what it bears would else
/// need many moves one after the other.
std::vector<KeyPlacement> findMoves(const std::vector<KeyRow> &OwnRows,
                                    const std::string &Host,
                                    const KeyOwnershipInputs &Inputs,
                                    const KeyOwnershipOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_BALANCE_H

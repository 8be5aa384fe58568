#ifndef LAGOONHITCH_OWNERSHIP_KEY_PART_H
#define LAGOONHITCH_OWNERSHIP_KEY_PART_H

/// \file
/// Parts of a host's rows that can move, with their request rates.

#include "ownership/key_peer.h"

#include <vector>

namespace lagoonhitch {

/// A key with its requests per second.
struct BusyKey {
  KeyId Key_ = 0;
  double Rate_ = 0;
};

/// Keys that can move together.
struct KeyPart {
  KeyRange Range_;
  /// Its keys with requests, in their order.
  std::vector<BusyKey> Keys_;
  double Rate_ = 0;
};

/// Adds a range with its rates; not if it has no requests.
void addPart(std::vector<KeyPart> &Parts, const KeyRange &Range,
             const KeyOwnershipInputs &Inputs);

/// Sorts parts by their rates, the busiest first.
void sortParts(std::vector<KeyPart> &Parts);

/// Takes keys from the start of a part until it has about the target rate, but
/// at least one key. It may exceed the target if that is nearer to it, up to a
/// maximum.
KeyPart takeFront(KeyPart &From, double Target, double Max);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_PART_H

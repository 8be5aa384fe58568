#ifndef LAGOONHITCH_STORE_STORE_RECORD_H
#define LAGOONHITCH_STORE_STORE_RECORD_H

/// \file
/// A record of a topic in the store.

#include "core/types.h"

#include <string>

namespace lagoonhitch {

/// A record of a topic that keeps the newest record of each key.
struct StoreRecord {
  std::string Key_;
  /// Empty if the key was deleted.
  std::string Value_;
  Offset Offset_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_STORE_STORE_RECORD_H

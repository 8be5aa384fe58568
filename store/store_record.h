#ifndef LAGOONHITCH_STORE_STORE_RECORD_H
#define LAGOONHITCH_STORE_STORE_RECORD_H

/// \file
/// One record of a topic that keeps the newest record of each key.

#include "core/types.h"

#include <string>

namespace lagoonhitch {

/// One record of a topic that keeps the newest record of each key.
struct StoreRecord {
  std::string Key_;
  /// Empty if the key was dropped.
  std::string Value_;
  Offset Offset_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_STORE_STORE_RECORD_H

#ifndef LAGOONHITCH_OWNERSHIP_KEY_PLACEMENT_H
#define LAGOONHITCH_OWNERSHIP_KEY_PLACEMENT_H

/// \file
/// A decision to give keys to a host.

#include "core/key_range.h"

#include <string>

namespace lagoonhitch {

/// A key range and the host that receives it.
struct KeyPlacement {
  KeyRange Range_;
  std::string Host_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_PLACEMENT_H

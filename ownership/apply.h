#ifndef LAGOONHITCH_OWNERSHIP_APPLY_H
#define LAGOONHITCH_OWNERSHIP_APPLY_H

/// \file
/// Applies the records of the ownership stream to a table.

#include "ownership/record.h"

namespace lagoonhitch {

/// Applies the record at an offset. A pure function of its arguments: every
/// daemon that applies the same records holds the same table.
/// \returns whether the record had an effect; otherwise it is void.
bool apply(Table &State, const Record &Entry, Offset At);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_APPLY_H

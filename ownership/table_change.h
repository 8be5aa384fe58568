#ifndef LAGOONHITCH_OWNERSHIP_TABLE_CHANGE_H
#define LAGOONHITCH_OWNERSHIP_TABLE_CHANGE_H

/// \file
/// The rows by which a table differs from the one before it. Daemons pass them
/// on to each other, since a whole table grows with the site.

#include "ownership/key_table.h"

#include <optional>
#include <string>

namespace lagoonhitch {

/// Encodes the rows of a table that the one before it did not have.
/// \returns nothing if the table before it is not the one that was replaced.
std::optional<std::string> encodeChange(const KeyTable &Before,
                                        const KeyTable &After);

/// Returns the table that a change makes of the one before it.
/// \param At the offset of the new table.
/// \returns nothing if the change can't be read, or is of another table.
std::optional<KeyTable> applyChange(const KeyTable &Before,
                                    const std::string &Text,
                                    Offset RecordOffset);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_TABLE_CHANGE_H

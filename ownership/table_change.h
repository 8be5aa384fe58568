#ifndef LAGOONHITCH_OWNERSHIP_TABLE_CHANGE_H
#define LAGOONHITCH_OWNERSHIP_TABLE_CHANGE_H

/// \file
/// The rows in which a key table differs from its predecessor. Daemons send
/// each other these changes, since a whole table grows with the site.

#include "ownership/key_table.h"

#include <optional>
#include <string>

namespace lagoonhitch {

/// Encodes the rows of a table that its predecessor does not have.
/// \returns std::nullopt if Before is not the direct predecessor of After, or
/// if the change would not reproduce After.
std::optional<std::string> encodeChange(const KeyTable &Before,
                                        const KeyTable &After);

/// Applies a change to the table that it is based on.
/// \param RecordOffset the offset of the new table.
/// \returns the new table, std::nullopt if the change is malformed or is based
/// on another table.
std::optional<KeyTable> applyChange(const KeyTable &Before,
                                    const std::string &Text,
                                    Offset RecordOffset);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_TABLE_CHANGE_H

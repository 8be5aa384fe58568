#ifndef LAGOONHITCH_OWNERSHIP_KEY_TABLE_H
#define LAGOONHITCH_OWNERSHIP_KEY_TABLE_H

/// \file
/// Which host owns which keys of a divided service.

#include "core/key_range.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Who owns keys: one life of an upstream, under one lease epoch of the daemon
/// beside it.
struct KeyOwner {
  std::string Host_;
  std::string Upstream_;
  std::int64_t StartMillis_ = 0;
  std::uint64_t Epoch_ = 0;

  bool operator==(const KeyOwner &) const = default;
};

/// Returns whether both name the same life of the same upstream.
bool sameIncarnation(const KeyOwner &Left, const KeyOwner &Right);

/// One row of a table.
struct KeyRow {
  KeyRange Range_;
  KeyOwner Owner_;
  /// The fencing token; grows whenever keys change hands.
  FencingToken Fence_ = 0;
  /// What the last owner's upstream gave when it released the keys; empty if
  /// it did not.
  std::string Handover_;

  bool operator==(const KeyRow &) const = default;
};

/// The owners of all keys of one service, as one record of the store says.
struct KeyTable {
  /// Rows in the order of their keys, without overlaps.
  std::vector<KeyRow> Rows_;
  /// The offset of the record; nothing if there is none yet.
  std::optional<Offset> Offset_;
};

/// Returns the row of a key, or nullptr.
const KeyRow *findRow(const KeyTable &Table, KeyId Key);

/// Returns the rows of a host.
std::vector<KeyRow> rowsOf(const KeyTable &Table, const std::string &Host);

/// Puts a row in place of what the table says of its keys.
void assignKeys(KeyTable &Table, const KeyRow &Row);

/// Joins neighbouring rows of one owner that have the same fence and
/// handover.
void mergeRows(KeyTable &Table);

/// Encodes the rows as JSON.
std::string encodeTable(const KeyTable &Table);

/// Decodes rows; returns nothing if the text can't be read, or if rows overlap.
std::optional<KeyTable> decodeTable(const std::string &Text,
                                    Offset RecordOffset);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_TABLE_H

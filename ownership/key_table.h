#ifndef LAGOONHITCH_OWNERSHIP_KEY_TABLE_H
#define LAGOONHITCH_OWNERSHIP_KEY_TABLE_H

/// \file
/// Which host owns which keys of a sharded service.

#include "core/key_range.h"
#include "core/types.h"
#include "store/store_era.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// An owner of keys: one incarnation of an upstream, under one lease epoch of
/// the daemon on its host.
struct KeyOwner {
  std::string Host_;
  std::string Upstream_;
  /// Start of the upstream's process, in milliseconds since the Unix epoch.
  std::int64_t StartMillis_ = 0;
  std::uint64_t Epoch_ = 0;

  bool operator==(const KeyOwner &) const = default;
};

/// Returns whether both are the same incarnation of the same upstream.
bool sameIncarnation(const KeyOwner &Left, const KeyOwner &Right);

/// One row of a key table.
struct KeyRow {
  KeyRange Range_;
  KeyOwner Owner_;
  /// The fencing token; increases whenever the keys change owner.
  FencingToken Fence_ = 0;
  /// Data that the previous owner's upstream returned when it released the
  /// keys; empty if none.
  std::string Handover_;

  bool operator==(const KeyRow &) const = default;
};

/// The owners of all keys of one service, stored as one record.
struct KeyTable {
  /// Rows sorted by key, without overlaps.
  std::vector<KeyRow> Rows_;
  /// The offset of the record; std::nullopt if there is none yet.
  std::optional<Offset> Offset_;
  /// The era of the store in which the rows were last known to be the newest
  /// ones. A record with an earlier era than its offset's was restored, or
  /// repairs a restored one.
  StoreEra Era_{};
};

/// Returns the row that contains a key, nullptr if there is none.
const KeyRow *findRow(const KeyTable &Table, KeyId Key);

/// Returns the rows whose keys a host owns.
std::vector<KeyRow> rowsOf(const KeyTable &Table, const std::string &Host);

/// Returns the keys of some rows that are in none of others.
std::vector<KeyRange> keysNotIn(const std::vector<KeyRow> &Others,
                                const std::vector<KeyRow> &Rows);

/// Adds a row and removes its keys from the other rows, which are split where
/// necessary.
void assignKeys(KeyTable &Table, const KeyRow &Row);

/// Returns a table with the rows of both; for each key, the row with the higher
/// fencing token, and that of Known if they are equal. Offset_ is Read's.
KeyTable combineTables(const KeyTable &Known, const KeyTable &Read);

/// Returns what is known after a read of a table that is newer than the known
/// one. A table of an earlier era may lack rows that are known.
KeyTable updatedTable(const KeyTable &Known, const KeyTable &Read);

/// Returns whether the table was written in the store's present era by a daemon
/// that could rely on its rows.
bool isOfItsEra(const KeyTable &Table);

/// Merges adjacent rows that have the same owner, fencing token and handover
/// data.
void mergeRows(KeyTable &Table);

/// Encodes the rows as JSON.
std::string encodeTable(const KeyTable &Table);

/// Decodes a table.
/// \param RecordOffset the offset of the record that holds it.
/// \returns std::nullopt if the text is malformed, or if rows overlap, are out
/// of order or outside the key space.
std::optional<KeyTable> decodeTable(const std::string &Text,
                                    Offset RecordOffset);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_TABLE_H

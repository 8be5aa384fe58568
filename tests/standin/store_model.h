#ifndef LAGOONHITCH_TESTS_STANDIN_STORE_MODEL_H
#define LAGOONHITCH_TESTS_STANDIN_STORE_MODEL_H

/// \file
/// An in-memory model of the platform's store.

#include "store/store_era.h"
#include "store/store_reply.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The records and producer epochs of one topic.
struct TopicModel {
  /// All records, by their position. Their Offset_ is not used.
  std::vector<StoreRecord> Records_;
  /// Reads from offsets before this one fail as expired. The newest record of
  /// each key is always available.
  Offset FirstRetained_ = 0;
  /// The highest epoch of each producer.
  std::map<std::string, std::uint64_t> Epochs_;
};

/// The topics by name.
struct StoreModel {
  StoreEra Era_{};
  std::map<std::string, TopicModel> Topics_;
};

/// An append as the store receives it.
struct StoreAppend {
  std::string Topic_;
  std::vector<StoreRecord> Records_;
  /// Offset at which the topic must end; std::nullopt for any. Only its
  /// position counts: the store doesn't know in which era it was given out.
  std::optional<Offset> ExpectedEnd_;
  /// The producer whose epoch is checked and updated; empty for none.
  std::string Producer_;
  std::uint64_t Epoch_ = 0;
};

/// Appends all records, or none if the producer is fenced or the topic does not
/// end at the expected offset. Returns the result.
AppendReply appendRecords(StoreModel &Model, const StoreAppend &Append);

/// Returns the records from an offset on, and the offset at which the topic
/// ends.
ReadReply readRecords(const StoreModel &Model, const std::string &Topic,
                      Offset From);

/// Replaces the content by an earlier one, which starts the next era.
void restoreCopy(StoreModel &Model, StoreModel Copy);

/// Returns the newest record of each key, except keys whose newest value is
/// empty.
ReadReply readNewestPerKey(const StoreModel &Model, const std::string &Topic);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_STANDIN_STORE_MODEL_H

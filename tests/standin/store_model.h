#ifndef LAGOONHITCH_TESTS_STANDIN_STORE_MODEL_H
#define LAGOONHITCH_TESTS_STANDIN_STORE_MODEL_H

/// \file
/// What the platform's store keeps, and how it decides.

#include "store/store_reply.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The records of one topic, and the epochs that producers have shown on it.
struct TopicModel {
  /// All records; the place is the offset.
  std::vector<StoreRecord> Records_;
  /// Records before this offset are forgotten, but for the newest of each key.
  Offset FirstRetained_ = 0;
  std::map<std::string, std::uint64_t> Epochs_;
};

/// Topics by name.
struct StoreModel {
  std::map<std::string, TopicModel> Topics_;
};

/// An append as the store takes it.
struct StoreAppend {
  std::string Topic_;
  std::vector<StoreRecord> Records_;
  std::optional<Offset> ExpectedEnd_;
  /// Empty for none.
  std::string Producer_;
  std::uint64_t Epoch_ = 0;
};

/// Appends, or says why not.
AppendReply appendRecords(StoreModel &Model, const StoreAppend &Append);

/// Returns the records from an offset on.
ReadReply readRecords(const StoreModel &Model, const std::string &Topic,
                      Offset From);

/// Returns the newest record of each key that was not dropped.
ReadReply readNewestPerKey(const StoreModel &Model, const std::string &Topic);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_STANDIN_STORE_MODEL_H

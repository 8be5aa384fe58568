#ifndef LAGOONHITCH_STORE_STORE_REPLY_H
#define LAGOONHITCH_STORE_STORE_REPLY_H

/// \file
/// How calls to the store end.

#include "core/types.h"
#include "store/store_record.h"

#include <vector>

namespace lagoonhitch {

/// How an append has ended.
struct AppendReply {
  enum class Kind {
    /// The record lies at Offset_.
    Done,
    /// Nothing was appended: the topic ends at TopicEnd_, not where it should.
    Conflict,
    /// Nothing was appended: the producer has shown a higher epoch.
    Fenced,
    /// Nothing was appended.
    Rejected,
    /// The record may have been appended, or may be later.
    Unknown,
  };
  Kind Kind_ = Kind::Unknown;
  Offset Offset_ = 0;
  Offset End_ = 0;
};

/// What a read has found.
struct ReadReply {
  enum class Kind {
    Done,
    /// The records from there on are not kept any more.
    Expired,
    Failed,
  };
  Kind Kind_ = Kind::Failed;
  std::vector<StoreRecord> Records_;
  /// Where the topic ends as far as it was read.
  Offset End_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_STORE_STORE_REPLY_H

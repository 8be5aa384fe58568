#ifndef LAGOONHITCH_STORE_STORE_REPLY_H
#define LAGOONHITCH_STORE_STORE_REPLY_H

/// \file
/// Replies of the store to calls.

#include "core/clock.h"
#include "core/types.h"
#include "store/store_record.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The result of an append.
struct AppendReply {
  enum class Kind {
    /// The record was appended at Offset_.
    Done,
    /// Nothing was appended: the topic ends at End_, not where expected.
    Conflict,
    /// Nothing was appended: the store has a higher epoch of the producer.
    Fenced,
    /// Nothing was appended for another reason.
    Rejected,
    /// The record may have been appended, or may still be appended later.
    Unknown,
  };
  Kind Kind_ = Kind::Unknown;
  Offset Offset_ = 0;
  Offset End_ = 0;
};

/// The result of a read.
struct ReadReply {
  enum class Kind {
    Done,
    /// The records at the requested offset are no longer retained, or the
    /// offset is of an earlier era.
    Expired,
    Failed,
  };
  Kind Kind_ = Kind::Failed;
  std::vector<StoreRecord> Records_;
  /// Keys whose newest record is malformed and therefore not in Records_.
  std::vector<std::string> UnreadableKeys_;
  /// The offset at which the topic ends as far as it was read.
  Offset End_ = 0;
  /// Size of the reply.
  std::size_t Bytes_ = 0;
  /// Time from the first received byte of the reply to its end.
  Duration ReceivingTime_{};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_STORE_STORE_REPLY_H

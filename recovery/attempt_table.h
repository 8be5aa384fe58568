#ifndef LAGOONHITCH_RECOVERY_ATTEMPT_TABLE_H
#define LAGOONHITCH_RECOVERY_ATTEMPT_TABLE_H

/// \file
/// Status of the attempts that a daemon has received for its upstream.

#include "core/clock.h"
#include "core/request_id.h"
#include "recovery/answer.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace lagoonhitch {

/// Bounds of an AttemptTable.
struct AttemptTableOptions {
  /// How long an entry is kept after its attempt has ended and its start limit
  /// has passed, unless a limit below is reached.
  std::chrono::milliseconds KeepFor_{5000};
  /// Maximum total size of the stored answers. Beyond it the oldest answers are
  /// dropped, those with AttemptEnd::DroppedFirst_ before others; their
  /// attempts are still known to have finished. A larger answer is not stored.
  std::size_t MaxBytes_ = 16 * 1024 * 1024;
  /// Maximum number of entries of ended attempts.
  std::size_t MaxEntries_ = 65536;
};

/// Maximum difference between the start limit that an attempt carries and the
/// one in a status look-up for it. They differ because each is computed on
/// arrival and network delays vary. Must be less than
/// AttemptTableOptions::KeepFor_.
inline constexpr std::chrono::milliseconds StartBySkew{1000};

/// Status of an attempt.
enum class AttemptStatus {
  /// Admitted and not yet finished.
  Running,
  /// Finished. The answer is stored, or nullptr if it was dropped.
  Finished,
  /// Never admitted, and it never will be.
  Rejected,
  /// Unknown, because its entry may have been evicted.
  Evicted,
};

/// Records recent attempts. Each attempt carries a start limit, the latest time
/// at which it may be admitted, so an attempt that has no entry and can no
/// longer be admitted has provably not run.
struct AttemptTable {
  struct Entry {
    AttemptStatus Status_ = AttemptStatus::Running;
    AnswerPtr Answer_;
  };
  struct Expiry {
    Instant DropAt_;
    Instant StartBy_;
    RequestId Id_;
  };
  /// An answer that is stored in an entry.
  struct StoredAnswer {
    RequestId Id_;
    std::size_t Bytes_ = 0;
  };
  std::unordered_map<RequestId, Entry, RequestIdHash> Entries_;
  /// Entries of finished and rejected attempts, oldest first.
  std::deque<Expiry> Expiries_;
  /// The stored answers that are dropped first, oldest first.
  std::deque<StoredAnswer> DroppedFirst_;
  /// The other stored answers, oldest first.
  std::deque<StoredAnswer> DroppedLast_;
  /// Total size of the stored answers.
  std::size_t Bytes_ = 0;
  /// Entries with a StartBy_ up to this may have been evicted.
  Instant EvictedUntil_ = Instant::min();
};

/// Admits an attempt unless it has an entry already, its entry may have been
/// evicted, or StartBy has passed.
/// \returns whether the attempt may run.
bool beginAttempt(AttemptTable &Table, const RequestId &Id, Instant StartBy,
                  Instant Now);

/// How an attempt ended.
struct AttemptEnd {
  AnswerPtr Answer_;
  /// Whether its answer is dropped before others at the size limit, since it
  /// was probably delivered and the attempt may be run again.
  bool DroppedFirst_ = false;
};

/// Marks an attempt as finished and stores its answer.
void finishAttempt(AttemptTable &Table, const RequestId &Id, Instant StartBy,
                   const AttemptEnd &End, const AttemptTableOptions &Options,
                   Instant Now);

/// Result of a status look-up.
struct AttemptInfo {
  AttemptStatus Status_ = AttemptStatus::Evicted;
  AnswerPtr Answer_;
};

/// Returns the status of an attempt that has an entry, or std::nullopt.
std::optional<AttemptInfo> findAttempt(const AttemptTable &Table,
                                       const RequestId &Id);

/// Returns the status of an attempt. An attempt that was never seen is rejected
/// from now on, so that it can't start after the look-up.
AttemptInfo lookUpAttempt(AttemptTable &Table, const RequestId &Id,
                          Instant StartBy, const AttemptTableOptions &Options,
                          Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_ATTEMPT_TABLE_H

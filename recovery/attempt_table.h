#ifndef LAGOONHITCH_RECOVERY_ATTEMPT_TABLE_H
#define LAGOONHITCH_RECOVERY_ATTEMPT_TABLE_H

/// \file
/// What became of the requests that an owner was given.

#include "core/clock.h"
#include "core/request_id.h"
#include "recovery/answer.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace lagoonhitch {

/// Bounds of a AttemptTable.
struct AttemptTableOptions {
  /// How long an answer is kept at least, unless room runs out.
  std::chrono::milliseconds KeepFor_{5000};
  /// Most bytes of kept answers; without room the oldest answers go first, and
  /// that their attempts have ended is still known.
  std::size_t MaxBytes_ = 16 * 1024 * 1024;
  /// Most kept entries.
  std::size_t MaxEntries_ = 65536;
};

/// How far the latest starts of one attempt and of a look-up for it may be
/// apart, as each was some time on its way. Shorter than entries are kept.
inline constexpr std::chrono::milliseconds StartBySkew{1000};

/// What an owner knows of an attempt.
enum class AttemptStatus {
  /// It was admitted and has not ended.
  Running,
  /// It has ended; the answer is kept, or nullptr where room ran out.
  Finished,
  /// It was never admitted and never will be.
  Rejected,
  /// Its entry may have been dropped; nothing can be said.
  Evicted,
};

/// Remembers the attempts of the last seconds. An attempt carries the latest
/// time at which it may be admitted, so an attempt that is not known and can
/// no longer be admitted has provably not run.
struct AttemptTable {
  struct Entry {
    AttemptStatus Status_ = AttemptStatus::Running;
    AnswerPtr Answer_;
  };
  struct Expiry {
    Instant DropAt_;
    Instant StartBy_;
    RequestId Id_;
    std::size_t Bytes_ = 0;
  };
  std::unordered_map<RequestId, Entry, RequestIdHash> Entries_;
  /// Ended entries, oldest first.
  std::deque<Expiry> Expiries_;
  std::size_t Bytes_ = 0;
  /// Attempts with a StartBy_ up to this may have been dropped.
  Instant EvictedUntil_ = Instant::min();
};

/// Admits an attempt unless it was refused before, is known already, or
/// StartBy has passed.
/// \returns whether it may run.
bool beginAttempt(AttemptTable &Table, const RequestId &Id, Instant StartBy,
                  Instant Now);

/// Ends an attempt and keeps its answer.
void finishAttempt(AttemptTable &Table, const RequestId &Id, Instant StartBy,
                   const AnswerPtr &Result, const AttemptTableOptions &Options,
                   Instant Now);

/// What a lookup has found.
struct AttemptInfo {
  AttemptStatus Status_ = AttemptStatus::Evicted;
  AnswerPtr Answer_;
};

/// Tells what became of an attempt. One that was never seen is refused from
/// now on.
AttemptInfo lookUpAttempt(AttemptTable &Table, const RequestId &Id,
                          Instant StartBy, const AttemptTableOptions &Options,
                          Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_ATTEMPT_TABLE_H

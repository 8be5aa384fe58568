#ifndef LAGOONHITCH_RECOVERY_DEDUP_WINDOW_H
#define LAGOONHITCH_RECOVERY_DEDUP_WINDOW_H

/// \file
/// Deduplicates requests by the caller's Idempotency-Key.

#include "core/clock.h"
#include "core/request_id.h"
#include "recovery/answer.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace lagoonhitch {

/// Bounds of a DedupWindow.
struct DedupOptions {
  /// How long a key is remembered after its request has ended.
  std::chrono::milliseconds Window_{600000};
  /// Most keys remembered at a time.
  std::size_t MaxEntries_ = 65536;
};

/// What is to be done with a request that carries a key.
enum class DedupDecision {
  /// Run it; the key is new.
  Run,
  /// Wait for the attempt that runs now.
  Wait,
  /// Give the kept answer.
  Replay,
  /// Refuse it: the key may have run where this owner can't see it.
  Uncertain,
  /// Refuse it: there is no room to remember the key.
  Full,
};

/// What a caller says about its key.
struct DedupClaim {
  /// Service and caller's key.
  std::string Key_;
  /// The number of the caller's attempt, if it says so; from 1.
  std::optional<std::uint32_t> Attempt_;
  /// When the key was made, if it is ordered by time (UUID version 7).
  std::optional<std::chrono::system_clock::time_point> CreatedAt_;
};

/// When and how the owner has got the key's shard.
struct ShardHistory {
  /// When the shard was taken over from another owner.
  Instant OwnedSince_;
  std::chrono::system_clock::time_point OwnedSinceWall_;
  /// Whether another owner may have run requests before.
  bool HadPreviousOwner_ = false;
};

/// The keys of the last minutes and what became of their requests.
struct DedupWindow {
  struct Entry {
    AnswerPtr Answer_;
    RequestId AttemptId_;
  };
  std::unordered_map<std::string, Entry> Entries_;
  std::deque<std::pair<Instant, std::string>> Expiries_;
};

/// Decides about a request with a key; remembers the key if it is to run.
DedupDecision claimIdempotencyKey(DedupWindow &Window, const DedupClaim &Claim,
                                  const ShardHistory &History,
                                  const RequestId &Id,
                                  const DedupOptions &Options, Instant Now);

/// Ends the request that runs under a key. A key that has not run is free
/// again.
void finishIdempotencyKey(DedupWindow &Window, const std::string &Key,
                          const RequestId &Id, const AnswerPtr &Result,
                          const DedupOptions &Options, Instant Now);

/// Returns the entry of a key, or nullptr.
const DedupWindow::Entry *findIdempotencyKey(const DedupWindow &Window,
                                             const std::string &Key);

/// Reads the time from a UUID of version 7; nothing for other texts.
std::optional<std::chrono::system_clock::time_point>
timeOfUuid7(const std::string &Text);

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_DEDUP_WINDOW_H

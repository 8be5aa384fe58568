#ifndef LAGOONHITCH_RECOVERY_DEDUP_WINDOW_H
#define LAGOONHITCH_RECOVERY_DEDUP_WINDOW_H

/// \file
/// Deduplication of requests by the caller's idempotency key.

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
  /// How long a key is kept after its request has finished.
  std::chrono::milliseconds Window_{600000};
  /// Maximum number of keys kept at a time.
  std::size_t MaxEntries_ = 65536;
};

/// How to handle a request with an idempotency key.
enum class DedupDecision {
  /// Run the request: the key is new.
  Run,
  /// Wait for the running attempt with the same key.
  Wait,
  /// Return the stored answer.
  Replay,
  /// Reject the request: a previous owner may have run one with this key.
  Uncertain,
  /// Reject the request: the window is full.
  Full,
};

/// An idempotency key with what its caller states about it.
struct DedupClaim {
  /// The service and the caller's idempotency key.
  std::string Key_;
  /// The caller's attempt number, starting at 1; std::nullopt if not stated.
  std::optional<std::uint32_t> Attempt_;
  /// Creation time of the key, if it contains one (UUID version 7).
  std::optional<std::chrono::system_clock::time_point> CreatedAt_;
};

/// When and from whom this owner took over the key's shard.
struct ShardHistory {
  /// When the shard was taken over from its previous owner, by the monotonic
  /// and by the wall clock.
  Instant OwnedSince_;
  std::chrono::system_clock::time_point OwnedSinceWall_;
  /// Whether a previous owner may have run requests.
  bool HadPreviousOwner_ = false;
};

/// Recently used idempotency keys with the answers to their requests.
struct DedupWindow {
  struct Entry {
    /// nullptr while the request runs.
    AnswerPtr Answer_;
    /// The attempt that runs or ran the request.
    RequestId AttemptId_;
  };
  std::unordered_map<std::string, Entry> Entries_;
  /// Keys of finished requests, the first to expire in front.
  std::deque<std::pair<Instant, std::string>> Expiries_;
};

/// Decides how to handle a request with an idempotency key. Records the key if
/// the request is to run.
DedupDecision claimIdempotencyKey(DedupWindow &Window, const DedupClaim &Claim,
                                  const ShardHistory &History,
                                  const RequestId &Id,
                                  const DedupOptions &Options, Instant Now);

/// Stores the answer to the request that ran with a key. If the request has
/// provably not run, the key is removed and can be used again.
void finishIdempotencyKey(DedupWindow &Window, const std::string &Key,
                          const RequestId &Id, const AnswerPtr &Result,
                          const DedupOptions &Options, Instant Now);

/// Returns the entry of a key, or nullptr if the key is not in the window.
const DedupWindow::Entry *findIdempotencyKey(const DedupWindow &Window,
                                             const std::string &Key);

/// Returns the creation time in a UUID of version 7; std::nullopt for other
/// texts.
std::optional<std::chrono::system_clock::time_point>
timeOfUuid7(const std::string &Text);

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_DEDUP_WINDOW_H

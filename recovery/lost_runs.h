#ifndef LAGOONHITCH_RECOVERY_LOST_RUNS_H
#define LAGOONHITCH_RECOVERY_LOST_RUNS_H

/// \file
/// The requests that an upstream may have been running when it crashed.

#include "core/clock.h"
#include "core/request_fingerprint.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// A request whose connection to the upstream broke before the answer.
struct LostRun {
  RequestFingerprint Request_;
  /// The caller's ID of the request, for logs.
  std::string RequestId_;
  /// Method and target, shortened, for logs.
  std::string Summary_;
  Instant SentAt_;
  Instant LostAt_;
  /// Whether the upstream has answered the same request before.
  bool AnsweredBefore_ = false;
};

/// The requests that were lost since the upstream was last known to be alive.
/// If it turns out to have crashed, these are the ones that it may have been
/// running.
struct LostRuns {
  std::vector<LostRun> Runs_;
};

/// Adds a lost request. The number of entries is limited; further ones are
/// ignored.
void addLostRun(LostRuns &State, LostRun Run);

/// Removes the requests that were lost before SentAt: the upstream has answered
/// a request that was sent then, so they were not lost by a crash.
void onUpstreamAlive(LostRuns &State, Instant SentAt);

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_LOST_RUNS_H

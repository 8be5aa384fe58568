#ifndef LAGOONHITCH_BENCH_BASELINE_ADMISSION_H
#define LAGOONHITCH_BENCH_BASELINE_ADMISSION_H

/// \file
/// Adaptive admission control for one upstream. Baseline for the admission
/// queue of the daemon.

#include "bench/baseline/admission_options.h"
#include "core/clock.h"
#include "settings/request_rule.h"

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace lagoonhitch {

/// Identifies a request at one upstream.
using RequestNumber = std::uint64_t;

/// The outcome of a request: a successful answer, shed by the upstream, or
/// failed.
enum class UpstreamOutcome { Success, Shed, Failed };

/// The concurrency limit, load and queue of one upstream.
///
/// The limit never exceeds what the upstream has announced. Sheds, failures and
/// series of slow answers lower it. Only good answers raise it, so the load of
/// a cold upstream grows gradually.
struct Admission {
  /// A request in the queue.
  struct WaitingRequest {
    RequestNumber Number_ = 0;
    Instant Deadline_;
  };
  /// Upper bound of the limit: the smaller of slots and connections.
  std::uint32_t Capacity_ = 0;
  /// Maximum number of requests in flight, rounded down.
  double Limit_ = 0;
  std::uint32_t InFlight_ = 0;
  /// Moving average of the latency; zero before the first answer.
  Duration AverageLatency_{};
  /// Number of consecutive slow answers, sheds and failures.
  std::uint32_t ConsecutiveBadAnswers_ = 0;
  /// When the limit was last lowered; Instant::min() for never.
  Instant LoweredAt_ = Instant::min();
  /// The limit is not raised before this time.
  Instant RaiseBlockedUntil_ = Instant::min();
  /// How long the last shed blocks raises of the limit; zero if there was none
  /// since the limit last reached the capacity.
  Duration RaisePause_{};
  /// Waiting requests by priority, oldest first.
  std::array<std::deque<WaitingRequest>, PriorityCount> Queues_;
};

/// The admission decision for a request.
enum class AdmitResult { Admitted, Queued, Shed };

/// Resets limit and latency for a new or restarted upstream. Requests in flight
/// and waiting requests stay.
void resetAdmission(Admission &State, std::uint32_t Slots,
                    std::uint32_t Connections, const AdmissionOptions &Options);

/// Admits, queues or sheds a request. Sheds it if the upstream has no
/// capacity, the queue is full or the deadline can't be met.
AdmitResult admit(Admission &State, RequestNumber Number, Priority Class,
                  Instant Deadline, const AdmissionOptions &Options,
                  Instant Now);

/// Records the end of an admitted request and adapts the limit.
/// \returns whether the upstream is now considered cold.
bool complete(Admission &State, UpstreamOutcome Outcome, Duration Latency,
              const AdmissionOptions &Options, Instant Now);

/// Requests that have left the queue.
struct AdvanceResult {
  /// Requests that are admitted now.
  std::vector<RequestNumber> Started_;
  /// Requests that can no longer be answered by their deadline.
  std::vector<RequestNumber> Dropped_;
};

/// Drops waiting requests that can no longer meet their deadline and admits
/// others, highest priority first, while there is capacity.
AdvanceResult advanceQueue(Admission &State, Instant Now);

/// Removes a waiting request.
/// \returns whether the request was waiting.
bool removeWaiting(Admission &State, RequestNumber Number);

/// Returns how long a request submitted now is expected to wait, for use in
/// Retry-After.
std::chrono::milliseconds expectedWait(const Admission &State);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_BASELINE_ADMISSION_H

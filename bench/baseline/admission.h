#ifndef LAGOONHITCH_BENCH_BASELINE_ADMISSION_H
#define LAGOONHITCH_BENCH_BASELINE_ADMISSION_H

/// \file
/// Decides how many requests an upstream gets at a time.

#include "bench/baseline/admission_options.h"
#include "core/clock.h"
#include "settings/request_rule.h"

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace lagoonhitch {

/// Number of a request at one upstream.
using RequestNumber = std::uint64_t;

/// How an upstream took a request.
enum class UpstreamOutcome { Success, Shed, Failed };

/// The limit, load and queue of one upstream.
///
/// The limit is never above what the upstream announced. It is lowered by
/// sheds, failures and slow answers, and raised by good answers only, so a
/// cold upstream earns its load.
struct Admission {
  struct WaitingRequest {
    RequestNumber Number_ = 0;
    Instant Deadline_;
  };
  /// The upstream's own limit: the lesser of slots and connections.
  std::uint32_t Capacity_ = 0;
  double Limit_ = 0;
  std::uint32_t InFlight_ = 0;
  /// Usual time of an answer; zero until one was seen.
  Duration AverageLatency_{};
  /// Slow answers, sheds and failures in a row.
  std::uint32_t ConsecutiveBadAnswers_ = 0;
  Instant LoweredAt_ = Instant::min();
  /// The limit is not raised before this.
  Instant RaiseBlockedUntil_ = Instant::min();
  /// How long the next shed holds the limit; zero before the first.
  Duration RaisePause_{};
  std::array<std::deque<WaitingRequest>, PriorityCount> Queues_;
};

/// What becomes of a request.
enum class AdmitResult { Admitted, Queued, Shed };

/// Starts over with a new or restarted upstream.
void resetAdmission(Admission &State, std::uint32_t Slots,
                    std::uint32_t Connections, const AdmissionOptions &Options);

/// Admits, queues or sheds a request.
AdmitResult admit(Admission &State, RequestNumber Number, Priority Class,
                  Instant Deadline, const AdmissionOptions &Options,
                  Instant Now);

/// Takes the end of an admitted request.
/// \returns whether the upstream was found cold by it.
bool complete(Admission &State, UpstreamOutcome Outcome, Duration Latency,
              const AdmissionOptions &Options, Instant Now);

/// What has become of waiting requests.
struct AdvanceResult {
  /// Admitted now.
  std::vector<RequestNumber> Started_;
  /// Dropped: they can't be answered by their deadline any more.
  std::vector<RequestNumber> Dropped_;
};

/// Starts waiting requests, highest priority first, while there is room.
AdvanceResult advanceQueue(Admission &State, Instant Now);

/// Removes a waiting request; returns whether it was waiting.
bool removeWaiting(Admission &State, RequestNumber Number);

/// Returns how long a request admitted now is likely to wait, for callers
/// that are told when to come back.
std::chrono::milliseconds expectedWait(const Admission &State);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_BASELINE_ADMISSION_H

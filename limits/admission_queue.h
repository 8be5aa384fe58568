#ifndef LAGOONHITCH_LIMITS_ADMISSION_QUEUE_H
#define LAGOONHITCH_LIMITS_ADMISSION_QUEUE_H

/// \file
/// Admission control for a daemon's local upstream.

#include "core/clock.h"
#include "limits/token_bucket.h"
#include "limits/upstream_speed.h"
#include "limits/work_estimate.h"
#include "membership/load_digest.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoonhitch {

/// Settings of an AdmissionQueue.
struct AdmissionQueueOptions {
  /// Fraction of its latency objective that a request may wait even if it then
  /// misses the objective.
  double LateWaitFraction_ = 0.25;
  /// Weight of one sample in the moving averages of the processing time.
  double ProcessingTimeWeight_ = 0.05;
  /// Processing time that is assumed before the first sample.
  std::chrono::milliseconds InitialProcessingTime_{200};
  /// Burst size of the rate limit for a cold upstream, in requests.
  double ColdBurst_ = 3;
  /// Burst size of the rate limit that the upstream states, in requests.
  double StatedBurst_ = 2;
  /// Lowest rate, in requests per second. An upstream without any requests
  /// could not state the end of its limit.
  double MinStatedRate_ = 0.5;
  /// Maximum number of waiting requests.
  std::size_t MaxWaiting_ = 512;
  /// Maximum number of calls among them.
  std::size_t MaxWaitingCalls_ = 256;
  /// Number of calls that may be started in a row while fresh requests of the
  /// same rank wait, so that those get at least a quarter of the starts.
  std::uint32_t MaxCallsInARow_ = 3;
  /// Time that another attempt of a call needs: two transits between daemons
  /// and the turns of their loops.
  std::chrono::milliseconds HandBackTime_{100};
  /// Pause after the upstream itself rejected a request as overloaded. It
  /// doubles while the upstream rejects requests although it runs none, so that
  /// an upstream that rejects everything costs few retries.
  std::chrono::milliseconds BaseOverloadPause_{30};
  std::chrono::milliseconds MaxOverloadPause_{480};
  /// Requests with a shorter timeout can't be retried after a rejection. They
  /// may wait for as long as they can still be answered by their deadline. Most
  /// of them belong to work that has started elsewhere.
  std::chrono::milliseconds MinRetryableTimeout_{900};
  /// Samples of its class that are needed to reject a request because its run
  /// takes too long, and how old the last one may be. Rejected requests give no
  /// samples, so without a limit of their age a wrong estimate would persist.
  std::uint32_t MinSamplesToReject_ = 8;
  std::chrono::seconds MaxSampleAgeToReject_{2};
};

/// A request that is submitted to an AdmissionQueue.
struct QueuedRequest {
  /// Unique within the queue.
  std::uint64_t Number_ = 0;
  /// Priority rank; zero is the highest.
  std::uint32_t Rank_ = 0;
  /// When the latency objective is missed.
  Instant ObjectiveAt_;
  /// When the caller's timeout expires.
  Instant Deadline_;
  /// Latency objective: time from the arrival at the entry daemon to
  /// ObjectiveAt_. Processing times are averaged separately for each objective.
  Duration Objective_{};
  /// Time from the arrival at this daemon to Deadline_.
  Duration Timeout_{};
  /// Whether another upstream's queue is assumed to have rejected the request
  /// before and to have reserved capacity for its retry.
  bool RejectedBefore_ = false;
  /// Requests of a class need similar work; zero if unknown.
  std::uint32_t Class_ = 0;
  /// Whether a running request waits for this one. Such a call may wait as long
  /// as it can still be answered, since its rejection loses a run.
  bool Chained_ = false;
  /// Whether other upstreams can run a call that is handed back in time.
  bool OthersCanRun_ = false;
};

/// A started request.
struct RunningRequest {
  /// The expected work when it was started, and its standard deviation.
  Duration Work_{};
  Duration Spread_{};
  /// workDone() of the upstream at its start.
  std::chrono::duration<double> WorkDoneBefore_{};
};

/// How the work of runs compares with the estimates.
struct EstimateError {
  std::uint64_t Runs_ = 0;
  /// Sum of the actual work divided by the estimate.
  double RatioSum_ = 0;
  /// Sum of the absolute natural logarithms of these ratios.
  double LogErrorSum_ = 0;
};

/// The order of waiting requests: by rank, calls before fresh requests, then by
/// ObjectiveAt_, then by number.
struct QueueOrder {
  std::uint32_t Rank_ = 0;
  bool Fresh_ = true;
  Instant ObjectiveAt_;
  std::uint64_t Number_ = 0;

  auto operator<=>(const QueueOrder &) const = default;
};

/// Returns the place of a request in the order.
QueueOrder orderOf(const QueuedRequest &Request);

/// The load of one upstream and the requests that wait for it.
struct AdmissionQueue {
  AdmissionQueueOptions Options_;
  /// Maximum number of running requests.
  std::uint32_t Slots_ = 0;
  std::uint32_t Running_ = 0;
  /// Moving averages of the processing time, over all requests and by
  /// objective.
  Duration ProcessingTime_{};
  std::map<Duration, Duration> ProcessingTimeByObjective_;
  /// Until then the upstream is cold and ColdTokens_ limits the requests that
  /// it gets.
  Instant ColdUntil_ = Instant::min();
  TokenBucket ColdTokens_;
  /// The rate limit that the upstream states; std::nullopt for none.
  std::optional<TokenBucket> StatedTokens_;
  /// No request is started before this time. Set when the upstream itself
  /// reports that it has no capacity.
  Instant PausedUntil_ = Instant::min();
  /// The next pause if the upstream still rejects requests without running any;
  /// zero before the first such rejection.
  Duration NextPause_{};
  std::map<QueueOrder, QueuedRequest> Waiting_;
  /// The started requests, by number.
  std::map<std::uint64_t, RunningRequest> RunningRequests_;
  /// The upstream's speed and the work of the requests.
  UpstreamSpeed Speed_;
  WorkEstimate Works_;
  EstimateError EstimateError_;
  /// Calls started in a row while fresh requests of the same rank waited.
  std::uint32_t CallsInARow_ = 0;
  /// Until then capacity is reserved for retries of rejected requests.
  Instant ReservedUntil_ = Instant::min();
};

/// The admission decision for one request.
struct AdmissionDecision {
  enum class Kind { Start, Wait, Reject };
  Kind Kind_ = Kind::Reject;
  /// Time until capacity is expected, after the requests that wait and, for a
  /// rejected request, after the capacity reserved for retries.
  Duration RetryAfter_{};
};

/// Resets slots, processing times, speed, cold start, pauses and reserved
/// capacity for another incarnation of the upstream. Running and waiting
/// requests stay, and so does the stated rate limit: the first response of the
/// new incarnation ends it if it does not apply any more. The work by class
/// stays too, because it does not depend on the upstream's speed.
void resetForUpstream(AdmissionQueue &State, std::uint32_t Slots);

/// Marks the upstream as cold until a point in time.
/// \param PerSecond limit in requests per second; zero ends the cold state.
void setCold(AdmissionQueue &State, Instant Until, double PerSecond,
             Instant Now);

/// Sets the rate limit that the upstream states.
/// \param PerSecond limit in requests per second; std::nullopt ends it.
void setStatedLimit(AdmissionQueue &State, std::optional<double> PerSecond,
                    Instant Now);

/// Counts a request to the upstream that has not passed the queue, such as a
/// health check, against the rate limits.
void chargeRateLimits(AdmissionQueue &State, Instant Now);

/// Pauses the queue because the upstream itself has rejected a request as
/// overloaded. To be called before finishRequest().
void onUpstreamOverloaded(AdmissionQueue &State, Instant Now);

/// Notes that the upstream has run a request.
void onUpstreamAccepted(AdmissionQueue &State);

/// Returns whether the upstream is cold.
bool isCold(const AdmissionQueue &State, Instant Now);

/// Returns the longest time that a request may wait and still be worth running.
/// It is negative if the request can't be answered by its deadline.
Duration longestUsefulWait(const QueuedRequest &Request,
                           Duration ProcessingTime,
                           const AdmissionQueueOptions &Options, Instant Now);

/// Starts a request, queues it, or rejects it. A request that would probably
/// not be completed by its deadline is rejected even if there is capacity.
AdmissionDecision submitRequest(AdmissionQueue &State,
                                const QueuedRequest &Request, Instant Now);

/// Learns the work of a started request whose run has succeeded. To be called
/// before finishRequest(), and neither for failed runs nor for those that were
/// cut short.
/// \returns the work, as time at usual speed; std::nullopt if the speed of the
/// upstream is unknown.
std::optional<Duration> learnWork(AdmissionQueue &State,
                                  const QueuedRequest &Request, Instant Now);

/// Releases the slot of a started request.
/// \param ProcessingTime time from its start to its answer; std::nullopt if the
/// request is no sample of the upstream's processing time.
void finishRequest(AdmissionQueue &State, const QueuedRequest &Request,
                   std::optional<Duration> ProcessingTime);

/// Removes a waiting request.
/// \returns whether the request was waiting.
bool cancelWaiting(AdmissionQueue &State, const QueuedRequest &Request);

/// Requests that have left the queue.
struct DispatchResult {
  std::vector<QueuedRequest> Started_;
  /// Requests that can no longer be answered by their deadline.
  std::vector<QueuedRequest> Dropped_;
};

/// Drops waiting requests that can no longer meet their deadline and starts
/// others while there is capacity.
DispatchResult dispatchWaiting(AdmissionQueue &State, Instant Now);

/// Returns how long a request submitted now is expected to wait.
Duration expectedWait(const AdmissionQueue &State, const QueuedRequest &Request,
                      Instant Now);

/// Returns the expected work of a request, as time at usual speed. Without
/// samples of its class, this is the average processing time of requests with
/// the same objective or, without these as well, an estimate.
Duration expectedWork(const AdmissionQueue &State,
                      const QueuedRequest &Request);

/// Returns the expected processing time of a request that is started now.
Duration expectedProcessingTime(const AdmissionQueue &State,
                                const QueuedRequest &Request, Instant Now);

/// Returns what the running and the waiting requests still need, as time at
/// usual speed.
Duration remainingWork(const AdmissionQueue &State, Instant Now);

/// Returns the time until the rate limit allows the next request; std::nullopt
/// if no request waits for the rate limit alone.
std::optional<Duration> timeToNextToken(const AdmissionQueue &State,
                                        Instant Now);

/// Returns the upstream's load, by which other hosts select an upstream.
LoadReport loadReport(const AdmissionQueue &State, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_ADMISSION_QUEUE_H

#ifndef LAGOONHITCH_BENCH_DECISIONS_FLEET_POLICY_H
#define LAGOONHITCH_BENCH_DECISIONS_FLEET_POLICY_H

/// \file
/// The interface of the policies under comparison: load balancing and admission
/// control for a fleet of hosts with one upstream each.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace lagoonhitch {

/// A request that has arrived at its target host.
struct BenchRequest {
  std::uint64_t Number_ = 0;
  /// Index of the priority, from low to high.
  std::size_t PriorityClass_ = 0;
  /// When the caller sent the request.
  Instant SentAt_;
  Instant Deadline_;
};

/// The outcome of an attempt: a successful answer, an error answer, or rejected
/// by the upstream or by admission control.
enum class BenchOutcome { Success, Error, Shed };

/// The admission decision for a request.
enum class BenchDecision { Start, Wait, Reject };

/// Numbers of the requests that have left the admission queue.
struct BenchDispatch {
  std::vector<std::uint64_t> Started_;
  /// Requests that can no longer be answered by their deadline.
  std::vector<std::uint64_t> Dropped_;
};

/// Makes the decisions of all hosts of a fleet. Hosts are numbered from zero.
class FleetPolicy {
public:
  virtual ~FleetPolicy() = default;

  /// Chooses the host that runs a request.
  /// \param EntryHost the host that has received the request from its caller.
  /// \param Tried hosts that have rejected the request.
  virtual std::size_t chooseTarget(std::size_t EntryHost,
                                   const std::set<std::size_t> &Tried,
                                   Instant Now) = 0;

  /// Records that an attempt was sent to a host.
  virtual void onAttemptSent(std::size_t EntryHost, std::size_t TargetHost) = 0;

  /// Records the end of an attempt at its entry host.
  /// \param Elapsed time since the attempt was sent.
  /// \param Rejected whether admission control or the upstream rejected it.
  virtual void onAttemptEnded(std::size_t EntryHost, std::size_t TargetHost,
                              Duration Elapsed, bool Rejected, Instant Now) = 0;

  /// Decides whether the target host starts, queues or rejects a request.
  virtual BenchDecision admit(std::size_t TargetHost,
                              const BenchRequest &Request, Instant Now) = 0;

  /// Records the end of a request that was started at the target host.
  /// \param Elapsed time since the start.
  /// \returns the requests that leave the queue as a result.
  virtual BenchDispatch onRequestFinished(std::size_t TargetHost,
                                          const BenchRequest &Request,
                                          BenchOutcome Outcome,
                                          Duration Elapsed, Instant Now) = 0;

  /// Runs the periodic work of a host.
  /// \returns the requests that leave the queue.
  virtual BenchDispatch tick(std::size_t TargetHost, Instant Now) = 0;

  /// Handles the report of a host's upstream that it is cold.
  /// \param ColdDuration expected time until the upstream is warm.
  /// \param PerSecond requests per second that the upstream can handle while
  /// cold.
  virtual void onUpstreamCold(std::size_t TargetHost, Duration ColdDuration,
                              double PerSecond, Instant Now) = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_FLEET_POLICY_H

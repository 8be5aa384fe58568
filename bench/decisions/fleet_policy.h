#ifndef LAGOONHITCH_BENCH_DECISIONS_FLEET_POLICY_H
#define LAGOONHITCH_BENCH_DECISIONS_FLEET_POLICY_H

/// \file
/// What is decided for a fleet of hosts with one upstream each: where a request
/// goes, and when its upstream gets it.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace lagoonhitch {

/// A request at a door.
struct BenchRequest {
  std::uint64_t Number_ = 0;
  /// From low to high.
  std::size_t PriorityClass_ = 0;
  Instant SentAt_;
  Instant Deadline_;
};

/// How an upstream ended a request.
enum class BenchOutcome { Success, Error, Shed };

/// What becomes of a request at a door.
enum class BenchDecision { Start, Wait, Reject };

/// What has become of requests that waited, by their numbers.
struct BenchDispatch {
  std::vector<std::uint64_t> Started_;
  std::vector<std::uint64_t> Dropped_;
};

/// The decisions of all hosts of a fleet; hosts are numbered from zero.
class FleetPolicy {
public:
  virtual ~FleetPolicy() = default;

  /// Chooses the host for a request of an entry.
  /// \param Tried hosts that have refused it.
  virtual std::size_t chooseTarget(std::size_t EntryHost,
                                   const std::set<std::size_t> &Tried,
                                   Instant Now) = 0;

  /// Counts a request that is sent.
  virtual void onAttemptSent(std::size_t EntryHost, std::size_t TargetHost) = 0;

  /// Takes the end of an attempt at its entry.
  virtual void onAttemptEnded(std::size_t EntryHost, std::size_t TargetHost,
                              Duration Elapsed, bool Rejected, Instant Now) = 0;

  /// Takes a request at a door.
  virtual BenchDecision admit(std::size_t TargetHost,
                              const BenchRequest &Request, Instant Now) = 0;

  /// Takes the end of a request that was started.
  virtual BenchDispatch onRequestFinished(std::size_t TargetHost,
                                          const BenchRequest &Request,
                                          BenchOutcome Outcome,
                                          Duration Elapsed, Instant Now) = 0;

  /// Does what is due now and then.
  virtual BenchDispatch tick(std::size_t TargetHost, Instant Now) = 0;

  /// Takes the word of a host's upstream that it is cold.
  virtual void onUpstreamCold(std::size_t TargetHost, Duration ColdDuration,
                              double PerSecond, Instant Now) = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_FLEET_POLICY_H

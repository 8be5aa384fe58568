#ifndef LAGOONHITCH_BENCH_BASELINE_UPSTREAM_CHOICE_H
#define LAGOONHITCH_BENCH_BASELINE_UPSTREAM_CHOICE_H

/// \file
/// Chooses among upstreams that may all take a request.

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonhitch {

/// What this daemon has seen of one upstream of a shared service.
struct UpstreamLoad {
  std::uint32_t InFlight_ = 0;
  /// Rises at once with a slow answer, falls slowly.
  Duration PeakLatency_{};
  Instant PeakAt_;
  /// No request is sent before this, after a failure to reach it.
  Instant AvoidUntil_ = Instant::min();
};

/// Loads of the upstreams of one service, by member.
using UpstreamLoads = std::unordered_map<MemberId, UpstreamLoad>;

/// Candidates for the requests of a shared service.
struct UpstreamCandidates {
  std::vector<MemberId> Members_;
  std::vector<bool> SameZone_;
};

/// Settings of the choice.
struct ChoiceOptions {
  /// Upstreams that are compared for a request.
  std::uint32_t Samples_ = 3;
  /// Added to the latency of an upstream in another zone.
  std::chrono::microseconds ZoneCost_{1000};
  /// Time in which a peak falls to a half.
  std::chrono::milliseconds PeakHalfLife_{200};
  /// How long an upstream is avoided that has refused a request.
  std::chrono::milliseconds AvoidAfterRejection_{20};
  /// How long an upstream is avoided that could not be reached.
  std::chrono::milliseconds AvoidAfterFailure_{500};
};

/// Returns the least loaded of a few sampled upstreams, leaving out one;
/// nothing if there is none. Random numbers are drawn from Seed.
std::optional<MemberId> chooseUpstream(const UpstreamCandidates &Candidates,
                                       const UpstreamLoads &Loads,
                                       MemberId Excluded, std::uint64_t &Seed,
                                       const ChoiceOptions &Options,
                                       Instant Now);

/// Counts a request that is sent.
void recordSent(UpstreamLoads &Loads, MemberId Id);

/// How an attempt has ended at an upstream.
enum class AttemptEnd { Answered, Rejected, Unreachable };

/// Counts an answer, or the lack of one.
void recordAttemptEnd(UpstreamLoads &Loads, MemberId Id, Duration Latency,
                      AttemptEnd End, const ChoiceOptions &Options,
                      Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_BASELINE_UPSTREAM_CHOICE_H

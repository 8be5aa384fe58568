#ifndef LAGOONHITCH_BENCH_BASELINE_UPSTREAM_CHOICE_H
#define LAGOONHITCH_BENCH_BASELINE_UPSTREAM_CHOICE_H

/// \file
/// Load balancing over the upstreams of a shared service. Baseline for the load
/// balancing of the daemon.

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonhitch {

/// The load of one upstream, as this daemon observes it.
struct UpstreamLoad {
  /// This daemon's requests to the upstream that await an answer.
  std::uint32_t InFlight_ = 0;
  /// Peak latency at PeakAt_. Rises at once with a slow answer and decays
  /// exponentially.
  Duration PeakLatency_{};
  Instant PeakAt_;
  /// The upstream is avoided until this time, after it rejected a request or
  /// could not be reached.
  Instant AvoidUntil_ = Instant::min();
};

/// Loads of the upstreams of one service, by member.
using UpstreamLoads = std::unordered_map<MemberId, UpstreamLoad>;

/// The upstreams of a shared service. Both vectors have the same order.
struct UpstreamCandidates {
  std::vector<MemberId> Members_;
  /// Whether each member is in this daemon's zone.
  std::vector<bool> SameZone_;
};

/// Settings of chooseUpstream().
struct ChoiceOptions {
  /// Number of upstreams that are compared for a request.
  std::uint32_t Samples_ = 3;
  /// Added to the latency of an upstream in another zone.
  std::chrono::microseconds ZoneCost_{1000};
  /// Half-life of the peak latency.
  std::chrono::milliseconds PeakHalfLife_{200};
  /// How long an upstream is avoided after it has rejected a request.
  std::chrono::milliseconds AvoidAfterRejection_{20};
  /// How long an upstream is avoided after it could not be reached.
  std::chrono::milliseconds AvoidAfterFailure_{500};
};

/// Returns the upstream with the lowest cost among a random sample.
/// \param Excluded a member that is not chosen, or NoMember.
/// \param Seed state of the random number generator.
/// \returns std::nullopt if there is no candidate.
std::optional<MemberId> chooseUpstream(const UpstreamCandidates &Candidates,
                                       const UpstreamLoads &Loads,
                                       MemberId Excluded, std::uint64_t &Seed,
                                       const ChoiceOptions &Options,
                                       Instant Now);

/// Records that an attempt was sent.
void recordSent(UpstreamLoads &Loads, MemberId Id);

/// How an attempt has ended.
enum class AttemptEnd { Answered, Rejected, Unreachable };

/// Records the end of an attempt.
void recordAttemptEnd(UpstreamLoads &Loads, MemberId Id, Duration Latency,
                      AttemptEnd End, const ChoiceOptions &Options,
                      Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_BASELINE_UPSTREAM_CHOICE_H

#include "bench/baseline/upstream_choice.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

/// Latency that is assumed for an upstream before its first answer. Lower
/// latencies count as this one.
constexpr std::chrono::microseconds InitialLatency{1000};

/// Returns the next number of a SplitMix64 generator.
std::uint64_t nextRandom(std::uint64_t &Seed) {
  Seed += 0x9E3779B97F4A7C15ULL;
  std::uint64_t Mixed = Seed;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

/// Returns the peak latency, decayed exponentially since it was recorded.
Duration decayedPeak(const UpstreamLoad &Load, const ChoiceOptions &Options,
                     Instant Now) {
  const double HalfLives = std::chrono::duration<double>(Now - Load.PeakAt_) /
                           std::chrono::duration<double>(Options.PeakHalfLife_);
  return std::chrono::duration_cast<Duration>(Load.PeakLatency_ *
                                              std::exp2(-HalfLives));
}

/// Returns the cost of an attempt: its expected latency times the number of
/// requests in flight, with a penalty for avoided upstreams.
double costOf(const UpstreamLoads &Loads, MemberId Id, bool SameZone,
              const ChoiceOptions &Options, Instant Now) {
  Duration Latency = InitialLatency;
  double InFlight = 0;
  double Penalty = 1;
  const auto Found = Loads.find(Id);
  if (Found != Loads.end()) {
    Latency =
        std::max<Duration>(Latency, decayedPeak(Found->second, Options, Now));
    InFlight = Found->second.InFlight_;
    if (Found->second.AvoidUntil_ > Now)
      Penalty = 1000;
  }
  if (!SameZone)
    Latency += Options.ZoneCost_;
  return Penalty * (InFlight + 1) * static_cast<double>(Latency.count());
}

} // namespace

std::optional<MemberId> chooseUpstream(const UpstreamCandidates &Candidates,
                                       const UpstreamLoads &Loads,
                                       MemberId Excluded, std::uint64_t &Seed,
                                       const ChoiceOptions &Options,
                                       Instant Now) {
  std::optional<MemberId> Best;
  double BestCost = 0;
  const std::size_t Count = Candidates.Members_.size();
  const std::size_t Samples = std::min<std::size_t>(Options.Samples_, Count);
  const std::size_t Start = Count == 0 ? 0 : nextRandom(Seed) % Count;
  const std::size_t Stride = Count < 2 ? 1 : 1 + nextRandom(Seed) % (Count - 1);
  // One sample more, since one of them may be the excluded member.
  for (std::size_t Step = 0; Step <= Samples && Step < Count; ++Step) {
    const std::size_t Index = (Start + Step * Stride) % Count;
    const MemberId Id = Candidates.Members_[Index];
    if (Id == Excluded)
      continue;
    const double Cost =
        costOf(Loads, Id, Candidates.SameZone_[Index], Options, Now);
    if (!Best || Cost < BestCost) {
      Best = Id;
      BestCost = Cost;
    }
  }
  return Best;
}

void recordSent(UpstreamLoads &Loads, MemberId Id) { ++Loads[Id].InFlight_; }

void recordAttemptEnd(UpstreamLoads &Loads, MemberId Id, Duration Latency,
                      AttemptEnd End, const ChoiceOptions &Options,
                      Instant Now) {
  UpstreamLoad &Load = Loads[Id];
  if (Load.InFlight_ > 0)
    --Load.InFlight_;
  if (End == AttemptEnd::Unreachable) {
    Load.AvoidUntil_ = Now + Options.AvoidAfterFailure_;
    return;
  }
  if (End == AttemptEnd::Rejected) {
    // Rejections are fast and must not make the upstream look fast.
    Load.AvoidUntil_ =
        std::max<Instant>(Load.AvoidUntil_, Now + Options.AvoidAfterRejection_);
    return;
  }
  const Duration Decayed = decayedPeak(Load, Options, Now);
  Load.PeakAt_ = Now;
  Load.PeakLatency_ = std::max(Decayed, Latency);
}

} // namespace lagoonhitch

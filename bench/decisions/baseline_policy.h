#ifndef LAGOONHITCH_BENCH_DECISIONS_BASELINE_POLICY_H
#define LAGOONHITCH_BENCH_DECISIONS_BASELINE_POLICY_H

/// \file
/// The baselines that the current policy is compared with.

#include "bench/baseline/admission.h"
#include "bench/baseline/upstream_choice.h"
#include "bench/decisions/fleet_policy.h"
#include "bench/decisions/service_simulation.h"

#include <random>
#include <vector>

namespace lagoonhitch {

/// The admission control of bench/baseline, with the load balancing of
/// bench/baseline or a simple algorithm.
class BaselinePolicy : public FleetPolicy {
public:
  /// \param Seed seed of the random numbers for load balancing.
  BaselinePolicy(const ServiceSimulationOptions &Options, std::uint64_t Seed);

  std::size_t chooseTarget(std::size_t EntryHost,
                           const std::set<std::size_t> &Tried,
                           Instant Now) override;
  void onAttemptSent(std::size_t EntryHost, std::size_t TargetHost) override;
  void onAttemptEnded(std::size_t EntryHost, std::size_t TargetHost,
                      Duration Elapsed, bool Rejected, Instant Now) override;
  BenchDecision admit(std::size_t TargetHost, const BenchRequest &Request,
                      Instant Now) override;
  BenchDispatch onRequestFinished(std::size_t TargetHost,
                                  const BenchRequest &Request,
                                  BenchOutcome Outcome, Duration Elapsed,
                                  Instant Now) override;
  BenchDispatch tick(std::size_t TargetHost, Instant Now) override;
  void onUpstreamCold(std::size_t TargetHost, Duration ColdDuration,
                      double PerSecond, Instant Now) override;

private:
  struct Host {
    Admission Admission_;
    UpstreamCandidates Candidates_;
    UpstreamLoads Loads_;
    std::uint64_t Seed_ = 0;
    std::size_t RoundRobinNext_ = 0;
  };

  PolicyKind Policy_;
  std::mt19937_64 Random_;
  std::vector<Host> Hosts_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_BASELINE_POLICY_H

#ifndef LAGOONHITCH_BENCH_DECISIONS_BASELINE_POLICY_H
#define LAGOONHITCH_BENCH_DECISIONS_BASELINE_POLICY_H

/// \file
/// The admission and the choice before the platform, and simple choices.

#include "bench/baseline/admission.h"
#include "bench/baseline/upstream_choice.h"
#include "bench/decisions/fleet_policy.h"
#include "bench/decisions/service_simulation.h"

#include <random>
#include <vector>

namespace lagoonhitch {

/// The earlier admission, with the earlier choice or a simple one.
class EarlierDecisions : public Decisions {
public:
  /// \param Seed of the choices' random numbers.
  EarlierDecisions(const SharedRunOptions &Options, std::uint64_t Seed);

  std::size_t choose(std::size_t Entry, const std::set<std::size_t> &Tried,
                     Instant Now) override;
  void onSent(std::size_t Entry, std::size_t Target) override;
  void onAnswered(std::size_t Entry, std::size_t Target, Duration Took,
                  bool Refused, Instant Now) override;
  BenchVerdict admit(std::size_t Owner, const BenchTicket &Ticket,
                     Instant Now) override;
  BenchChange onEnded(std::size_t Owner, const BenchTicket &Ticket,
                      BenchEnd End, Duration Took, Instant Now) override;
  BenchChange tick(std::size_t Owner, Instant Now) override;
  void onCold(std::size_t Owner, Duration For, double PerSecond,
              Instant Now) override;

private:
  struct Host {
    Admission Admission_;
    UpstreamCandidates Candidates_;
    UpstreamLoads Loads_;
    std::uint64_t Seed_ = 0;
    std::size_t NextInTurn_ = 0;
  };

  ChoicePolicy Policy_;
  std::mt19937_64 Random_;
  std::vector<Host> Hosts_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_BASELINE_POLICY_H

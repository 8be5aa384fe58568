#include "bench/decisions/baseline_policy.h"

namespace lagoonhitch {

BaselinePolicy::BaselinePolicy(const ServiceSimulationOptions &Options,
                               std::uint64_t Seed)
    : Policy_(Options.Policy_), Random_(Seed) {
  const std::size_t Count = Options.Upstreams_.size();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::uint32_t Slots = Options.Upstreams_[Index].Slots_;
    Host Added;
    Added.Seed_ = Random_();
    resetAdmission(Added.Admission_, Slots, Slots, {});
    Added.Admission_.Limit_ = Slots;
    for (std::size_t Other = 0; Other < Count; ++Other) {
      Added.Candidates_.Members_.push_back(Other + 1);
      Added.Candidates_.SameZone_.push_back(Other % Options.Zones_ ==
                                            Index % Options.Zones_);
    }
    Hosts_.push_back(std::move(Added));
  }
}

std::size_t BaselinePolicy::chooseTarget(std::size_t EntryHost,
                                         const std::set<std::size_t> &Tried,
                                         Instant Now) {
  Host &Source = Hosts_[EntryHost];
  const std::size_t Count = Hosts_.size();
  const auto InFlight = [&Source](std::size_t Index) {
    return Source.Loads_[Index + 1].InFlight_;
  };
  switch (Policy_) {
  case PolicyKind::RoundRobin:
    return Source.RoundRobinNext_++ % Count;
  case PolicyKind::LeastInFlight: {
    std::size_t Best = 0;
    for (std::size_t Index = 1; Index < Count; ++Index)
      if (InFlight(Index) < InFlight(Best))
        Best = Index;
    return Best;
  }
  case PolicyKind::TwoChoices: {
    const std::size_t A = Random_() % Count;
    const std::size_t B = Random_() % Count;
    return InFlight(A) <= InFlight(B) ? A : B;
  }
  case PolicyKind::Baseline: {
    const MemberId Excluded = Tried.empty() ? NoMember : *Tried.rbegin() + 1;
    return chooseUpstream(Source.Candidates_, Source.Loads_, Excluded,
                          Source.Seed_, {}, Now)
               .value_or(1) -
           1;
  }
  default:
    return Random_() % Count;
  }
}

void BaselinePolicy::onAttemptSent(std::size_t EntryHost,
                                   std::size_t TargetHost) {
  recordSent(Hosts_[EntryHost].Loads_, TargetHost + 1);
}

void BaselinePolicy::onAttemptEnded(std::size_t EntryHost,
                                    std::size_t TargetHost, Duration Elapsed,
                                    bool Rejected, Instant Now) {
  recordAttemptEnd(Hosts_[EntryHost].Loads_, TargetHost + 1, Elapsed,
                   Rejected ? AttemptEnd::Rejected : AttemptEnd::Answered, {},
                   Now);
}

BenchDecision BaselinePolicy::admit(std::size_t TargetHost,
                                    const BenchRequest &Request, Instant Now) {
  switch (lagoonhitch::admit(Hosts_[TargetHost].Admission_, Request.Number_,
                             static_cast<Priority>(Request.PriorityClass_),
                             Request.Deadline_, {}, Now)) {
  case AdmitResult::Admitted:
    return BenchDecision::Start;
  case AdmitResult::Queued:
    return BenchDecision::Wait;
  case AdmitResult::Shed:
    return BenchDecision::Reject;
  }
  return BenchDecision::Reject;
}

BenchDispatch BaselinePolicy::onRequestFinished(std::size_t TargetHost,
                                                const BenchRequest &,
                                                BenchOutcome Outcome,
                                                Duration Elapsed, Instant Now) {
  complete(Hosts_[TargetHost].Admission_,
           Outcome == BenchOutcome::Shed ? UpstreamOutcome::Shed
                                         : UpstreamOutcome::Success,
           Elapsed, {}, Now);
  return tick(TargetHost, Now);
}

BenchDispatch BaselinePolicy::tick(std::size_t TargetHost, Instant Now) {
  AdvanceResult Result = advanceQueue(Hosts_[TargetHost].Admission_, Now);
  return {std::move(Result.Started_), std::move(Result.Dropped_)};
}

void BaselinePolicy::onUpstreamCold(std::size_t, Duration, double, Instant) {
  // The baseline admission detects a cold upstream from its answers.
}

} // namespace lagoonhitch

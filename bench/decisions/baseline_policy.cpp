#include "bench/decisions/baseline_policy.h"

namespace lagoonhitch {

EarlierDecisions::EarlierDecisions(const SharedRunOptions &Options,
                                   std::uint64_t Seed)
    : Policy_(Options.Policy_), Random_(Seed) {
  const std::size_t Count = Options.Upstreams_.size();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::uint32_t Slots = Options.Upstreams_[Index].Slots_;
    Host One;
    One.Seed_ = Random_();
    resetAdmission(One.Admission_, Slots, Slots, {});
    One.Admission_.Limit_ = Slots;
    for (std::size_t Other = 0; Other < Count; ++Other) {
      One.Candidates_.Members_.push_back(Other + 1);
      One.Candidates_.SameZone_.push_back(Other % Options.Zones_ ==
                                          Index % Options.Zones_);
    }
    Hosts_.push_back(std::move(One));
  }
}

std::size_t EarlierDecisions::choose(std::size_t Entry,
                                     const std::set<std::size_t> &Tried,
                                     Instant Now) {
  Host &Chooser = Hosts_[Entry];
  const std::size_t Count = Hosts_.size();
  const auto InFlight = [&Chooser](std::size_t Index) {
    return Chooser.Loads_[Index + 1].InFlight_;
  };
  switch (Policy_) {
  case ChoicePolicy::RoundRobin:
    return Chooser.NextInTurn_++ % Count;
  case ChoicePolicy::LeastInFlight: {
    std::size_t Best = 0;
    for (std::size_t Index = 1; Index < Count; ++Index)
      if (InFlight(Index) < InFlight(Best))
        Best = Index;
    return Best;
  }
  case ChoicePolicy::TwoChoices: {
    const std::size_t A = Random_() % Count;
    const std::size_t B = Random_() % Count;
    return InFlight(A) <= InFlight(B) ? A : B;
  }
  case ChoicePolicy::Earlier: {
    const MemberId Except = Tried.empty() ? NoMember : *Tried.rbegin() + 1;
    return chooseUpstream(Chooser.Candidates_, Chooser.Loads_, Except,
                          Chooser.Seed_, {}, Now)
               .value_or(1) -
           1;
  }
  default:
    return Random_() % Count;
  }
}

void EarlierDecisions::onSent(std::size_t Entry, std::size_t Target) {
  noteSent(Hosts_[Entry].Loads_, Target + 1);
}

void EarlierDecisions::onAnswered(std::size_t Entry, std::size_t Target,
                                  Duration Took, bool Refused, Instant Now) {
  noteAnswered(Hosts_[Entry].Loads_, Target + 1, Took,
               Refused ? AnswerKind::Refused : AnswerKind::Answered, {}, Now);
}

BenchVerdict EarlierDecisions::admit(std::size_t Owner,
                                     const BenchTicket &Ticket, Instant Now) {
  switch (lagoonhitch::admit(Hosts_[Owner].Admission_, Ticket.Number_,
                             static_cast<Priority>(Ticket.Class_),
                             Ticket.Deadline_, {}, Now)) {
  case AdmitResult::Admitted:
    return BenchVerdict::Start;
  case AdmitResult::Queued:
    return BenchVerdict::Wait;
  case AdmitResult::Shed:
    return BenchVerdict::Refuse;
  }
  return BenchVerdict::Refuse;
}

BenchChange EarlierDecisions::onEnded(std::size_t Owner, const BenchTicket &,
                                      BenchEnd End, Duration Took,
                                      Instant Now) {
  complete(Hosts_[Owner].Admission_,
           End == BenchEnd::Shed ? UpstreamAnswer::Shed : UpstreamAnswer::Good,
           Took, {}, Now);
  return tick(Owner, Now);
}

BenchChange EarlierDecisions::tick(std::size_t Owner, Instant Now) {
  QueueChange Change = advanceQueue(Hosts_[Owner].Admission_, Now);
  return {std::move(Change.Started_), std::move(Change.Dropped_)};
}

void EarlierDecisions::onCold(std::size_t, Duration, double, Instant) {
  // The earlier admission found that out from answers.
}

} // namespace lagoonhitch

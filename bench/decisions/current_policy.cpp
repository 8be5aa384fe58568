#include "bench/decisions/current_policy.h"

#include "routing/host_choice.h"
#include "settings/request_rule.h"

namespace lagoonhitch {

namespace {

constexpr const char *Service = "s";
constexpr std::chrono::milliseconds DigestEvery{250};
/// Pause after the upstream had no room.
constexpr std::chrono::milliseconds FullPause{30};

} // namespace

PresentDecisions::PresentDecisions(const SharedRunOptions &Options,
                                   std::uint64_t Seed, Instant Now)
    : ZoneDelay_(Options.ZoneDelay_), Random_(Seed) {
  for (std::size_t Index = 0; Index < Options.Upstreams_.size(); ++Index) {
    Host One;
    One.Name_ = std::to_string(Index);
    One.Zone_ = std::to_string(Index % Options.Zones_);
    One.Door_.Options_.InitialProcessingTime_ =
        toMillis(Options.Upstreams_[Index].MeanTime_);
    resetForUpstream(One.Door_, Options.Upstreams_[Index].Slots_);
    One.DigestAt_ = Now;
    Hosts_.push_back(std::move(One));
  }
  for (Host &Entry : Hosts_)
    for (const Host &Other : Hosts_) {
      MemberRecord Record;
      Record.Host_ = Other.Name_;
      Record.Zone_ = Other.Zone_;
      Record.Service_ = Service;
      Record.State_ = UpstreamState::Ready;
      applyRecord(Entry.Fleet_, Record, Now);
    }
  for (Host &One : Hosts_)
    sendDigest(One, Now);
}

LoadReport PresentDecisions::loadOf(const Host &One, Instant Now) const {
  LoadReport Load;
  Load.Running_ = One.Door_.Running_;
  Load.Queued_ = static_cast<std::uint32_t>(One.Door_.Waiting_.size());
  Load.Slots_ = One.Door_.Slots_;
  Load.ProcessingMillis_ =
      static_cast<std::uint32_t>(toMillis(One.Door_.ProcessingTime_).count());
  if (isCold(One.Door_, Now))
    Load.ColdRate_ = static_cast<std::uint32_t>(One.Door_.ColdRate_);
  return Load;
}

void PresentDecisions::sendDigest(Host &From, Instant Now) {
  const LoadReport Load = loadOf(From, Now);
  LoadDigest Digest;
  Digest.Host_ = From.Name_;
  Digest.Process_ = 1;
  Digest.Sequence_ = ++From.Sequence_;
  Digest.Accepting_ = true;
  Digest.Running_ = Load.Running_;
  Digest.Queued_ = Load.Queued_;
  Digest.Slots_ = Load.Slots_;
  Digest.ProcessingMillis_ = Load.ProcessingMillis_;
  Digest.ColdRate_ = Load.ColdRate_;
  for (Host &Entry : Hosts_)
    applyDigest(Entry.Fleet_, Digest, Now);
  From.DigestAt_ = Now + DigestEvery;
}

FleetMember &PresentDecisions::memberOf(std::size_t Entry, std::size_t Target) {
  return *findMember(Hosts_[Entry].Fleet_, Hosts_[Target].Name_);
}

std::size_t PresentDecisions::choose(std::size_t Entry,
                                     const std::set<std::size_t> &Tried,
                                     Instant Now) {
  HostChoice Choice;
  Choice.Service_ = Service;
  Choice.OwnHost_ = Hosts_[Entry].Name_;
  Choice.OwnZone_ = Hosts_[Entry].Zone_;
  for (const std::size_t Index : Tried)
    Choice.Tried_.insert(Hosts_[Index].Name_);
  HostChoiceOptions Options;
  Options.ZoneCost_ = toMillis(ZoneDelay_ * 2);
  // A daemon knows the load of its own door.
  applyLoadReport(memberOf(Entry, Entry), loadOf(Hosts_[Entry], Now), Now);
  const std::optional<std::string> Chosen =
      chooseHost(Hosts_[Entry].Fleet_, Choice, Options, Random_(), Now);
  return Chosen ? std::stoull(*Chosen) : Entry;
}

void PresentDecisions::onSent(std::size_t Entry, std::size_t Target) {
  FleetMember &Member = memberOf(Entry, Target);
  ++Member.InFlight_;
  ++Member.SentSinceLoadUpdate_;
}

void PresentDecisions::onAnswered(std::size_t Entry, std::size_t Target,
                                  Duration, bool, Instant Now) {
  FleetMember &Member = memberOf(Entry, Target);
  --Member.InFlight_;
  applyLoadReport(Member, loadOf(Hosts_[Target], Now), Now);
}

QueuedRequest PresentDecisions::ticketOf(const BenchTicket &Ticket) {
  constexpr int ObjectivePart = 4;
  const Duration Limit = Ticket.Deadline_ - Ticket.SentAt_;
  QueuedRequest Made;
  Made.Number_ = Ticket.Number_;
  Made.Rank_ = static_cast<std::uint32_t>(PriorityCount - 1 - Ticket.Class_);
  Made.Objective_ = Limit / ObjectivePart;
  Made.ObjectiveAt_ = Ticket.SentAt_ + Made.Objective_;
  Made.Deadline_ = Ticket.Deadline_;
  Made.Timeout_ = Limit;
  return Made;
}

BenchVerdict PresentDecisions::admit(std::size_t Owner,
                                     const BenchTicket &Ticket, Instant Now) {
  switch (submitRequest(Hosts_[Owner].Door_, ticketOf(Ticket), Now).Kind_) {
  case AdmissionDecision::Kind::Start:
    return BenchVerdict::Start;
  case AdmissionDecision::Kind::Wait:
    return BenchVerdict::Wait;
  case AdmissionDecision::Kind::Reject:
    return BenchVerdict::Refuse;
  }
  return BenchVerdict::Refuse;
}

BenchChange PresentDecisions::onEnded(std::size_t Owner,
                                      const BenchTicket &Ticket, BenchEnd End,
                                      Duration Took, Instant Now) {
  AdmissionQueue &Door = Hosts_[Owner].Door_;
  const bool Ran = End != BenchEnd::Shed;
  finishRequest(Door, ticketOf(Ticket),
                Ran ? std::optional<Duration>(Took) : std::nullopt);
  if (!Ran)
    Door.PausedUntil_ = Now + FullPause;
  return tick(Owner, Now);
}

BenchChange PresentDecisions::tick(std::size_t Owner, Instant Now) {
  Host &One = Hosts_[Owner];
  if (Now >= One.DigestAt_)
    sendDigest(One, Now);
  BenchChange Change;
  const DispatchResult Door = dispatchWaiting(One.Door_, Now);
  for (const QueuedRequest &Ticket : Door.Started_)
    Change.Started_.push_back(Ticket.Number_);
  for (const QueuedRequest &Ticket : Door.Dropped_)
    Change.Dropped_.push_back(Ticket.Number_);
  return Change;
}

void PresentDecisions::onCold(std::size_t Owner, Duration For, double PerSecond,
                              Instant Now) {
  setCold(Hosts_[Owner].Door_, Now + For, PerSecond, Now);
}

} // namespace lagoonhitch

#include "bench/decisions/current_policy.h"

#include "membership/digest_recipients.h"
#include "routing/host_choice.h"
#include "settings/request_rule.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr const char *Service = "s";
/// The service of daemons without an upstream of the simulated service.
constexpr const char *OtherService = "other";
/// How long no request is started after the upstream has shed one.
constexpr std::chrono::milliseconds RejectionPause{30};

} // namespace

CurrentPolicy::CurrentPolicy(const ServiceSimulationOptions &Options,
                             std::uint64_t Seed, Instant Now)
    : ZoneCost_(Options.ZoneCost_.value_or(toMillis(Options.ZoneDelay_ * 2))),
      DigestInterval_(Options.DigestInterval_),
      SampleDigests_(Options.SampleDigests_), Random_(Seed) {
  const std::size_t Upstreams = Options.Upstreams_.size();
  const std::size_t Daemons = std::max(Options.Daemons_, Upstreams);
  for (std::size_t Index = 0; Index < Daemons; ++Index)
    addHost(Index, Options, Now);
  for (Host &Receiver : Hosts_)
    addMembers(Receiver, Now);
  for (std::size_t Index = 0; Index < Upstreams; ++Index)
    Hosts_[Index].Recipients_ = recipientsOf(Hosts_[Index]);
  for (std::size_t Index = 0; Index < Upstreams; ++Index) {
    sendDigest(Hosts_[Index], Now);
    if (SampleDigests_)
      Hosts_[Index].NextDigestAt_ =
          Now + DigestInterval_ * (Index + 1) / Upstreams;
  }
}

void CurrentPolicy::addHost(std::size_t Index,
                            const ServiceSimulationOptions &Options,
                            Instant Now) {
  Host Added;
  Added.Name_ = std::to_string(Index);
  Added.Zone_ = std::to_string(Index % Options.Zones_);
  Added.HasUpstream_ = Index < Options.Upstreams_.size();
  Added.NextDigestAt_ = Now;
  if (Added.HasUpstream_) {
    const FakeUpstreamOptions &Upstream = Options.Upstreams_[Index];
    Added.Queue_.Options_.InitialProcessingTime_ =
        toMillis(Upstream.MeanProcessingTime_);
    resetForUpstream(Added.Queue_, Upstream.Slots_);
  }
  Hosts_.push_back(std::move(Added));
}

void CurrentPolicy::addMembers(Host &Receiver, Instant Now) const {
  for (const Host &Other : Hosts_) {
    MemberRecord Record;
    Record.Host_ = Other.Name_;
    Record.Zone_ = Other.Zone_;
    Record.Service_ = Other.HasUpstream_ ? Service : OtherService;
    Record.State_ = UpstreamState::Ready;
    applyRecord(Receiver.Fleet_, Record, Now);
  }
}

std::vector<std::size_t> CurrentPolicy::recipientsOf(const Host &Sender) const {
  std::vector<std::size_t> Recipients;
  if (!SampleDigests_) {
    for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
      Recipients.push_back(Index);
    return Recipients;
  }
  for (const MemberRecord *Recipient : digestRecipients(
           Sender.Fleet_, Sender.Name_, false, DigestSampleOptions()))
    Recipients.push_back(std::stoull(Recipient->Host_));
  return Recipients;
}

void CurrentPolicy::sendDigest(Host &Sender, Instant Now) {
  const LoadReport Load = loadReport(Sender.Queue_, Now);
  LoadDigest Digest;
  Digest.Host_ = Sender.Name_;
  Digest.Process_ = 1;
  Digest.Sequence_ = ++Sender.Sequence_;
  Digest.Accepting_ = true;
  Digest.Running_ = Load.Running_;
  Digest.Queued_ = Load.Queued_;
  Digest.Slots_ = Load.Slots_;
  Digest.ProcessingMillis_ = Load.ProcessingMillis_;
  Digest.RateLimit_ = Load.RateLimit_;
  Digest.IntervalMillis_ = static_cast<std::uint32_t>(DigestInterval_.count());
  for (const std::size_t Index : Sender.Recipients_)
    applyDigest(Hosts_[Index].Fleet_, Digest, Now);
  Sender.NextDigestAt_ = Now + DigestInterval_;
}

FleetMember &CurrentPolicy::memberOf(std::size_t EntryHost,
                                     std::size_t TargetHost) {
  return *findMember(Hosts_[EntryHost].Fleet_, Hosts_[TargetHost].Name_);
}

std::size_t CurrentPolicy::chooseTarget(std::size_t EntryHost,
                                        const std::set<std::size_t> &Tried,
                                        Instant Now) {
  HostChoice Choice;
  Choice.Service_ = Service;
  Choice.OwnHost_ = Hosts_[EntryHost].Name_;
  Choice.OwnZone_ = Hosts_[EntryHost].Zone_;
  for (const std::size_t Index : Tried)
    Choice.Tried_.insert(Hosts_[Index].Name_);
  HostChoiceOptions Options;
  Options.ZoneCost_ = ZoneCost_;
  // A daemon knows the current load of its local upstream.
  if (Hosts_[EntryHost].HasUpstream_)
    applyLoadReport(memberOf(EntryHost, EntryHost),
                    loadReport(Hosts_[EntryHost].Queue_, Now), Now);
  const std::optional<std::string> Chosen =
      chooseHost(Hosts_[EntryHost].Fleet_, Choice, Options, Random_(), Now);
  return Chosen ? std::stoull(*Chosen) : EntryHost;
}

void CurrentPolicy::onAttemptSent(std::size_t EntryHost,
                                  std::size_t TargetHost) {
  FleetMember &Member = memberOf(EntryHost, TargetHost);
  ++Member.InFlight_;
  ++Member.SentSinceLoadUpdate_;
}

void CurrentPolicy::onAttemptEnded(std::size_t EntryHost,
                                   std::size_t TargetHost, Duration, bool,
                                   Instant Now) {
  FleetMember &Member = memberOf(EntryHost, TargetHost);
  --Member.InFlight_;
  applyLoadReport(Member, loadReport(Hosts_[TargetHost].Queue_, Now), Now);
}

QueuedRequest CurrentPolicy::toQueuedRequest(const BenchRequest &Request) {
  constexpr int ObjectiveDivisor = 4;
  const Duration Timeout = Request.Deadline_ - Request.SentAt_;
  QueuedRequest Queued;
  Queued.Number_ = Request.Number_;
  Queued.Rank_ =
      static_cast<std::uint32_t>(PriorityCount - 1 - Request.PriorityClass_);
  Queued.Objective_ = Timeout / ObjectiveDivisor;
  Queued.ObjectiveAt_ = Request.SentAt_ + Queued.Objective_;
  Queued.Deadline_ = Request.Deadline_;
  Queued.Timeout_ = Timeout;
  return Queued;
}

BenchDecision CurrentPolicy::admit(std::size_t TargetHost,
                                   const BenchRequest &Request, Instant Now) {
  switch (
      submitRequest(Hosts_[TargetHost].Queue_, toQueuedRequest(Request), Now)
          .Kind_) {
  case AdmissionDecision::Kind::Start:
    return BenchDecision::Start;
  case AdmissionDecision::Kind::Wait:
    return BenchDecision::Wait;
  case AdmissionDecision::Kind::Reject:
    return BenchDecision::Reject;
  }
  return BenchDecision::Reject;
}

BenchDispatch CurrentPolicy::onRequestFinished(std::size_t TargetHost,
                                               const BenchRequest &Request,
                                               BenchOutcome Outcome,
                                               Duration Elapsed, Instant Now) {
  AdmissionQueue &Queue = Hosts_[TargetHost].Queue_;
  const bool Processed = Outcome != BenchOutcome::Shed;
  finishRequest(Queue, toQueuedRequest(Request),
                Processed ? std::optional<Duration>(Elapsed) : std::nullopt);
  if (!Processed)
    Queue.PausedUntil_ = Now + RejectionPause;
  return tick(TargetHost, Now);
}

BenchDispatch CurrentPolicy::tick(std::size_t TargetHost, Instant Now) {
  Host &Target = Hosts_[TargetHost];
  if (Now >= Target.NextDigestAt_)
    sendDigest(Target, Now);
  BenchDispatch Result;
  const DispatchResult Dispatched = dispatchWaiting(Target.Queue_, Now);
  for (const QueuedRequest &Request : Dispatched.Started_)
    Result.Started_.push_back(Request.Number_);
  for (const QueuedRequest &Request : Dispatched.Dropped_)
    Result.Dropped_.push_back(Request.Number_);
  return Result;
}

void CurrentPolicy::onUpstreamCold(std::size_t TargetHost,
                                   Duration ColdDuration, double PerSecond,
                                   Instant Now) {
  setCold(Hosts_[TargetHost].Queue_, Now + ColdDuration, PerSecond, Now);
}

} // namespace lagoonhitch

#include "tests/unit/shared_service_model.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr const char *Service = "s";
constexpr const char *Zone = "z1";
constexpr milliseconds FailureTime{2};
constexpr double ProcessingTimeWeight = 0.05;
const Instant Start{std::chrono::hours(1)};

std::string hostOf(std::size_t Index) { return "h" + std::to_string(Index); }

std::size_t indexOf(const std::string &Host) {
  return std::stoul(Host.substr(1));
}

} // namespace

SharedServiceModel::SharedServiceModel(SharedServiceOptions Options)
    : Options_(std::move(Options)), Upstreams_(Options_.Hosts_),
      Entries_(Options_.Hosts_) {
  for (Upstream &Idle : Upstreams_)
    Idle.ProcessingMillis_ =
        static_cast<double>(Options_.ProcessingTime_.count());
  for (Entry &Daemon : Entries_)
    for (std::size_t Index = 0; Index < Options_.Hosts_; ++Index) {
      MemberRecord Record;
      Record.Host_ = hostOf(Index);
      Record.Zone_ = Zone;
      Record.Service_ = Service;
      Record.Upstream_ = Record.Host_ + "-1";
      Record.State_ = UpstreamState::Ready;
      applyRecord(Daemon.Fleet_, Record, Start);
    }
}

Instant SharedServiceModel::now() const { return Start + Elapsed_; }

LoadReport SharedServiceModel::load(const Upstream &Reporting) const {
  LoadReport Load;
  Load.Running_ = Reporting.Running_;
  Load.Queued_ = static_cast<std::uint32_t>(Reporting.Waiting_.size());
  Load.Slots_ = Options_.Slots_;
  Load.ProcessingMillis_ =
      static_cast<std::uint32_t>(Reporting.ProcessingMillis_);
  Load.Work_.FailurePercent_ =
      failurePercent(Reporting.Failures_, FailureRateOptions(), now());
  return Load;
}

void SharedServiceModel::sendDigests() {
  for (std::size_t Index = 0; Index < Options_.Hosts_; ++Index) {
    const milliseconds Offset =
        Options_.DigestInterval_ * Index / Options_.Hosts_;
    const bool IsDue = Elapsed_ == milliseconds(0) ||
                       Elapsed_ % Options_.DigestInterval_ == Offset;
    if (!IsDue)
      continue;
    const LoadReport Load = load(Upstreams_[Index]);
    LoadDigest Digest;
    Digest.Host_ = hostOf(Index);
    Digest.Sequence_ = ++DigestSequence_;
    Digest.IntervalMillis_ =
        static_cast<std::uint32_t>(Options_.DigestInterval_.count());
    Digest.Accepting_ = true;
    Digest.Running_ = Load.Running_;
    Digest.Queued_ = Load.Queued_;
    Digest.Slots_ = Load.Slots_;
    Digest.ProcessingMillis_ = Load.ProcessingMillis_;
    Digest.Work_ = Load.Work_;
    for (Entry &Daemon : Entries_)
      applyDigest(Daemon.Fleet_, Digest, now());
  }
}

void SharedServiceModel::runUntil(milliseconds End) {
  constexpr double MillisPerSecond = 1000;
  for (; Elapsed_ < End; ++Elapsed_) {
    sendDigests();
    while (!Ends_.empty() && Ends_.begin()->first <= Elapsed_)
      finish(Ends_.extract(Ends_.begin()).mapped());
    for (Due_ += Options_.Rate_ / MillisPerSecond; Due_ >= 1; Due_ -= 1) {
      Request Next;
      Next.Entry_ = Random_() % Entries_.size();
      Next.Idempotent_ = ++Requests_ % 2 == 0;
      Next.BegunAt_ = Elapsed_;
      send(std::move(Next));
    }
  }
}

void SharedServiceModel::send(Request Sent) {
  Entry &Daemon = Entries_[Sent.Entry_];
  HostChoice Choice;
  Choice.Service_ = Service;
  Choice.OwnZone_ = Zone;
  Choice.Tried_ = Sent.Tried_;
  if (Options_.UseHealth_) {
    const UpstreamHealthOptions Health;
    assessUpstreams(Daemon.Health_, Daemon.Fleet_, Service, Health, Random_(),
                    now());
    Choice.Health_ = &Daemon.Health_;
    if (Sent.Tried_.empty())
      Choice.Probe_ = takeProbe(Daemon.Health_, Sent.Idempotent_,
                                Entries_.size(), Health, now())
                          .value_or(std::string());
  }
  const std::string Host =
      *chooseHost(Daemon.Fleet_, Choice, HostChoiceOptions(), Random_(), now());
  FleetMember *Member = findMember(Daemon.Fleet_, Host);
  ++Member->InFlight_;
  ++Member->SentSinceLoadUpdate_;
  Sent.Upstream_ = indexOf(Host);
  const std::size_t Index = Sent.Upstream_;
  Upstreams_[Index].Attempts_.push_back(Elapsed_);
  Upstreams_[Index].Waiting_.push_back(std::move(Sent));
  startWaiting(Index);
}

void SharedServiceModel::startWaiting(std::size_t Index) {
  Upstream &Tested = Upstreams_[Index];
  while (!Tested.Waiting_.empty() && Tested.Running_ < Options_.Slots_) {
    ++Tested.Running_;
    const double Probability = Options_.FailureProbability_(Index, Elapsed_);
    End Next;
    Next.Request_ = std::move(Tested.Waiting_.front());
    Tested.Waiting_.pop_front();
    Next.Failed_ = std::bernoulli_distribution(Probability)(Random_);
    const auto Mean = static_cast<double>(Options_.ProcessingTime_.count());
    Next.Millis_ =
        Next.Failed_
            ? static_cast<double>(FailureTime.count())
            : std::uniform_real_distribution<>(Mean / 2, Mean * 3 / 2)(Random_);
    Ends_.emplace(Elapsed_ + milliseconds(static_cast<int>(Next.Millis_)),
                  std::move(Next));
  }
}

void SharedServiceModel::finish(const End &Ended) {
  Request Sent = Ended.Request_;
  Upstream &Tested = Upstreams_[Sent.Upstream_];
  --Tested.Running_;
  addRequestEnd(Tested.Failures_, Ended.Failed_, FailureRateOptions(), now());
  if (!Ended.Failed_ || !Options_.UseHealth_)
    Tested.ProcessingMillis_ =
        Tested.ProcessingMillis_ * (1 - ProcessingTimeWeight) +
        Ended.Millis_ * ProcessingTimeWeight;
  startWaiting(Sent.Upstream_);
  Entry &Daemon = Entries_[Sent.Entry_];
  const std::string Host = hostOf(Sent.Upstream_);
  FleetMember *Member = findMember(Daemon.Fleet_, Host);
  --Member->InFlight_;
  const LoadReport Load = load(Tested);
  applyLoadReport(*Member, Load, now());
  addOwnRequestEnd(Daemon.Health_, Host, Ended.Failed_, Load,
                   UpstreamHealthOptions(), now());
  if (Ended.Failed_ && Sent.Idempotent_ && Sent.Tried_.empty()) {
    Sent.Tried_.insert(Host);
    send(std::move(Sent));
    return;
  }
  Finished_.emplace_back(Sent.BegunAt_, Ended.Failed_);
}

std::size_t SharedServiceModel::attempts(std::size_t Upstream,
                                         milliseconds From,
                                         milliseconds To) const {
  const std::vector<milliseconds> &Times = Upstreams_[Upstream].Attempts_;
  return static_cast<std::size_t>(
      std::count_if(Times.begin(), Times.end(),
                    [&](milliseconds At) { return At >= From && At < To; }));
}

double SharedServiceModel::attemptsToMean(std::size_t Upstream,
                                          milliseconds From,
                                          milliseconds To) const {
  std::size_t Total = 0;
  for (std::size_t Index = 0; Index < Upstreams_.size(); ++Index)
    Total += attempts(Index, From, To);
  return static_cast<double>(attempts(Upstream, From, To) * Upstreams_.size()) /
         static_cast<double>(std::max<std::size_t>(Total, 1));
}

double SharedServiceModel::failedShare(milliseconds From,
                                       milliseconds To) const {
  double Total = 0;
  double Failed = 0;
  for (const auto &[BegunAt, HasFailed] : Finished_)
    if (BegunAt >= From && BegunAt < To) {
      Total += 1;
      Failed += HasFailed ? 1 : 0;
    }
  return Failed / std::max(Total, 1.0);
}

std::size_t SharedServiceModel::avoiders(std::size_t Upstream) const {
  return static_cast<std::size_t>(std::count_if(
      Entries_.begin(), Entries_.end(), [Upstream](const Entry &Daemon) {
        return isAvoided(&Daemon.Health_, hostOf(Upstream));
      }));
}

} // namespace lagoonhitch

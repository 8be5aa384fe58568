#include "tests/soak/soak_round.h"

#include "manifest/manifest.h"
#include "tests/process/run_files.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

namespace lagoonhitch {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after the last fault within which all requests must be served again.
constexpr seconds RecoveryLimit{15};
/// Maximum time from SIGTERM to the end of the process.
constexpr seconds StopLimit{6};
/// Time after which a draining upstream must get no new requests.
constexpr seconds DrainLimit{5};
/// The last part of a round, in which every call must run.
constexpr seconds RecoveredPhase{1};
constexpr milliseconds ConnectionDelay{120};
/// Limit that upstreams state, in requests per second.
constexpr std::uint32_t StatedRate = 20;
/// Time in which a stated limit becomes known.
constexpr milliseconds LimitNotice{500};
/// Time that an upstream takes for a request without SlowRuns.
const microseconds NormalRunTime{SiteOptions().ServiceTimeMicros_};
/// Time in which a manifest can be published, longer than faults of the store.
constexpr seconds PublishLimit{20};
/// Pause after a failed attempt to publish a manifest.
constexpr milliseconds PublishRetryDelay{100};
/// Time from a request to the close of its connection up to which the daemon
/// may have closed it before the request arrived.
constexpr milliseconds CloseNotice{200};

std::int64_t millisBetween(Instant From, Instant To) {
  return std::chrono::duration_cast<milliseconds>(To - From).count();
}

} // namespace

SoakRound::SoakRound(const Clock &Time, Site &TestSite, FaultPlan Plan,
                     std::uint64_t FirstCall, History &RecordedHistory)
    : Time_(Time), Site_(TestSite), Plan_(std::move(Plan)),
      History_(RecordedHistory) {
  LoadGeneratorOptions Options;
  for (std::uint32_t Host = 0; Host < Site_.hosts(); ++Host)
    Options.Addresses_.push_back(Site_.callersAddress(Host));
  Options.FirstCall_ = FirstCall;
  // Callers do not send over a connection that may be closed at the same time.
  if (const std::optional<milliseconds> Shortest = shortestIdleTimeout(Plan_))
    Options.MaxIdleTime_ = *Shortest * MaxIdlePercent / 100;
  Load_ = std::make_unique<LoadGenerator>(Time_, Options);
  KeptConnectionsOptions KeptOptions;
  KeptOptions.Addresses_ = Options.Addresses_;
  KeptOptions.FirstCall_ = FirstCall;
  Kept_ = std::make_unique<KeptConnections>(Time_, KeptOptions);
}

std::vector<SoakRound::FaultEvent> SoakRound::faultEvents() const {
  std::vector<FaultEvent> Events;
  for (const Fault &Current : Plan_.Faults_) {
    Events.push_back({StartedAt_ + Current.Start_, true, Current});
    Events.push_back(
        {StartedAt_ + Current.Start_ + Current.Duration_, false, Current});
  }
  std::sort(Events.begin(), Events.end(),
            [](const FaultEvent &Left, const FaultEvent &Right) {
              return Left.At_ < Right.At_;
            });
  return Events;
}

std::string SoakRound::describe(const LoadGenerator::Call &Finished) const {
  return Finished.Target_ + " via " + Finished.Address_ + ", sent at " +
         std::to_string(millisBetween(StartedAt_, Finished.SentAt_)) +
         " ms, ended after " +
         std::to_string(millisBetween(Finished.SentAt_, Finished.AnsweredAt_)) +
         " ms with status " + std::to_string(Finished.Status_) + " " +
         outcomeName(Finished.Outcome_);
}

Violations SoakRound::run() {
  StartedAt_ = Time_.now();
  for (const FaultEvent &Next : faultEvents()) {
    std::this_thread::sleep_for(Next.At_ - Time_.now());
    if (Next.Starts_)
      startFault(Next.Fault_);
    else
      endFault(Next.Fault_);
  }
  if (Publishing_.valid())
    startPublishing(CallerLimits().IdleTimeout_);
  std::this_thread::sleep_for(RecoveryLimit + RecoveredPhase);
  Load_->finish();
  Kept_->finish();
  if (Publishing_.valid())
    Publishing_.get();
  History_.Answers_.insert(History_.Answers_.end(), Load_->answers().begin(),
                           Load_->answers().end());
  History_.Runs_.clear();
  History_.ServingIntervals_.clear();
  addRuns(Site_.runFiles(), History_);
  const Violations HistoryViolations = checkAll(History_);
  Violations_.insert(Violations_.end(), HistoryViolations.begin(),
                     HistoryViolations.end());
  checkPlannedStops();
  checkStatedLimits();
  checkKeptConnections();
  checkRecovery();
  if (Plan_.PlannedOnly_) {
    checkPlannedOperations();
    checkSingleRuns();
    checkDrains();
  }
  return Violations_;
}

/// Returns whether requests may wait during a fault that occurs together with
/// planned operations.
bool SoakRound::delaysRequests(const Fault &Current) {
  return Current.Kind_ == Fault::Kind::SlowRuns ||
         Current.Kind_ == Fault::Kind::StateLimit ||
         Current.Kind_ == Fault::Kind::RefuseConnections;
}

void SoakRound::startFault(const Fault &Current) {
  if (delaysRequests(Current))
    DelaysFrom_ = std::min(DelaysFrom_, Time_.now());
  switch (Current.Kind_) {
  case Fault::Kind::StopDaemon:
    startStop(Current.Host_);
    return;
  case Fault::Kind::ReloadDaemon:
    Site_.daemon(Current.Host_).signal(SIGHUP);
    return;
  case Fault::Kind::DrainUpstream:
    Site_.setUpstreamMode(Current.Host_, {{"draining", true}});
    return;
  case Fault::Kind::KillDaemon:
    killDaemon(Current.Host_);
    Site_.relay(Current.Host_).refuseConnections();
    Killed_.insert(Current.Host_);
    return;
  case Fault::Kind::SuspendDaemon:
    Site_.daemon(Current.Host_).signal(SIGSTOP);
    return;
  case Fault::Kind::SuspendUpstream:
    Site_.upstream(Current.Host_).signal(SIGSTOP);
    return;
  case Fault::Kind::DropTraffic:
    Site_.relay(Current.Host_).dropTraffic();
    return;
  case Fault::Kind::DropResponses:
    Site_.relay(Current.Host_).dropResponses();
    return;
  case Fault::Kind::ResetConnections:
    Site_.relay(Current.Host_).reset();
    return;
  case Fault::Kind::DelayConnections:
    Site_.relay(Current.Host_).setDelay(ConnectionDelay);
    return;
  case Fault::Kind::RefuseConnections:
    Site_.relay(Current.Host_).refuseConnections();
    return;
  case Fault::Kind::IgnoreConnections:
    Site_.relay(Current.Host_).ignoreConnections();
    return;
  case Fault::Kind::SlowRuns:
    setRunTime(Current.Host_, Current.RunTime_);
    return;
  case Fault::Kind::StateLimit:
    stateLimit(Current.Host_);
    return;
  case Fault::Kind::PublishManifest:
    startPublishing(Current.IdleTimeout_);
    return;
  case Fault::Kind::KillUpstream:
    // restartUpstream() kills it at the end of the fault.
    return;
  default:
    startStoreFault(Current.Kind_);
  }
}

void SoakRound::endFault(const Fault &Current) {
  if (delaysRequests(Current))
    DelaysTo_ = Time_.now();
  switch (Current.Kind_) {
  case Fault::Kind::StopDaemon:
    finishStop(Current.Host_);
    restartDaemon(Current.Host_);
    return;
  case Fault::Kind::KillDaemon:
    Killed_.erase(Current.Host_);
    restartDaemon(Current.Host_);
    return;
  case Fault::Kind::DrainUpstream:
  case Fault::Kind::KillUpstream:
    Site_.restartUpstream(Current.Host_);
    return;
  case Fault::Kind::SuspendDaemon:
    Site_.daemon(Current.Host_).signal(SIGCONT);
    return;
  case Fault::Kind::SuspendUpstream:
    Site_.upstream(Current.Host_).signal(SIGCONT);
    return;
  case Fault::Kind::DelayConnections:
    Site_.relay(Current.Host_).setDelay(milliseconds(0));
    return;
  case Fault::Kind::RefuseConnections:
  case Fault::Kind::IgnoreConnections:
    if (!hasExited(Current.Host_))
      Site_.relay(Current.Host_).acceptConnections();
    return;
  case Fault::Kind::SlowRuns:
    setRunTime(Current.Host_, NormalRunTime);
    return;
  case Fault::Kind::StateLimit:
    endStatedLimit(Current.Host_);
    return;
  case Fault::Kind::ReloadDaemon:
  case Fault::Kind::DropTraffic:
  case Fault::Kind::DropResponses:
  case Fault::Kind::ResetConnections:
  case Fault::Kind::PublishManifest:
    return;
  default:
    endStoreFaults();
  }
}

void SoakRound::setRunTime(std::uint32_t Host, microseconds RunTime) {
  Site_.setUpstreamMode(Host, {{"service_us", RunTime.count()}});
}

void SoakRound::stateLimit(std::uint32_t Host) {
  Site_.setUpstreamMode(Host, {{"stated_limit", std::to_string(StatedRate)}});
  Limits_.push_back({Site_.upstreamName(Host), StatedRate,
                     Time_.now() + LimitNotice, Instant::max()});
}

void SoakRound::endStatedLimit(std::uint32_t Host) {
  for (StatedLimit &Limit : Limits_)
    if (Limit.Upstream_ == Site_.upstreamName(Host))
      Limit.To_ = std::min(Limit.To_, Time_.now());
  Site_.setUpstreamMode(Host, {{"stated_limit", ""}});
}

void SoakRound::startStoreFault(Fault::Kind Kind) {
  switch (Kind) {
  case Fault::Kind::StoreDown:
    Site_.setStoreMode({{"down", true}});
    return;
  case Fault::Kind::StoreRejects:
    Site_.setStoreMode({{"refuses", true}});
    return;
  case Fault::Kind::StoreSlow:
    Site_.setStoreMode({{"slow_ms", 700}});
    return;
  case Fault::Kind::StoreLosesReplies:
    Site_.setStoreMode({{"lose_answers", 5}});
    return;
  default:
    Site_.setStoreMode({{"act_late_ms", 1200}});
  }
}

void SoakRound::endStoreFaults() {
  Site_.setStoreMode({{"down", false},
                      {"refuses", false},
                      {"slow_ms", 0},
                      {"lose_answers", 0},
                      {"act_late_ms", 0}});
}

void SoakRound::startPublishing(milliseconds IdleTimeout) {
  Kept_->setIdleTimeout(IdleTimeout);
  Publishing_ =
      std::async(std::launch::async,
                 [this, Before = std::move(Publishing_),
                  Manifest = Site_.makeManifest(IdleTimeout)]() mutable {
                   if (Before.valid())
                     Before.get();
                   publish(Manifest);
                 });
}

/// Tries again while the store does not confirm the manifest.
void SoakRound::publish(const std::string &Manifest) const {
  const Instant End = Time_.now() + PublishLimit;
  while (!Site_.publishManifest(Manifest)) {
    if (Time_.now() > End)
      throw std::runtime_error("a manifest was not published in time");
    std::this_thread::sleep_for(PublishRetryDelay);
  }
}

void SoakRound::killDaemon(std::uint32_t Host) {
  Kills_.emplace(Site_.callersAddress(Host), Time_.now());
  Site_.daemon(Host).signal(SIGKILL);
  Site_.daemon(Host).wait();
}

void SoakRound::startStop(std::uint32_t Host) {
  PlannedStop Stopped;
  Stopped.Host_ = Host;
  Stopped.CallersAddress_ = Site_.callersAddress(Host);
  Stopped.StopRequestedAt_ = Time_.now();
  ChildProcess &Daemon = Site_.daemon(Host);
  Daemon.signal(SIGTERM);
  StopsInProgress_[Host] =
      std::async(std::launch::async, [this, Stopped, &Daemon]() mutable {
        Stopped.ExitCode_ = Daemon.waitFor(StopLimit);
        Stopped.EndedAt_ = Time_.now();
        Site_.relay(Stopped.Host_).refuseConnections();
        return Stopped;
      });
}

bool SoakRound::hasExited(std::uint32_t Host) const {
  const auto Stop = StopsInProgress_.find(Host);
  const bool Stopped =
      Stop != StopsInProgress_.end() &&
      Stop->second.wait_for(seconds(0)) == std::future_status::ready;
  return Stopped || Killed_.contains(Host);
}

void SoakRound::restartDaemon(std::uint32_t Host) {
  Site_.restartDaemon(Host);
  Site_.relay(Host).acceptConnections();
}

void SoakRound::finishStop(std::uint32_t Host) {
  const PlannedStop Stopped = StopsInProgress_.at(Host).get();
  StopsInProgress_.erase(Host);
  Stops_.push_back(Stopped);
  const std::string Name = "stop of host " + std::to_string(Host);
  if (!Stopped.ExitCode_) {
    Violations_.push_back(Name + " took longer than its limit");
    killDaemon(Host);
    return;
  }
  if (*Stopped.ExitCode_ != 0)
    Violations_.push_back(Name + " ended with exit code " +
                          std::to_string(*Stopped.ExitCode_));
}

/// Checks that a planned stop does not cut off a request. Callers keep using
/// their connections to a stopping daemon until it has ended.
void SoakRound::checkPlannedStops() {
  if (!Plan_.PlannedOnly_)
    return;
  for (const PlannedStop &Stopped : Stops_)
    for (const LoadGenerator::Call &Finished : Load_->calls())
      if (Finished.Address_ == Stopped.CallersAddress_ &&
          Finished.SentAt_ < Stopped.EndedAt_ &&
          Finished.AnsweredAt_ > Stopped.StopRequestedAt_ &&
          isDisrupted(Finished))
        Violations_.push_back("a planned stop cut off a request: " +
                              describe(Finished));
}

/// Returns whether a call was sent or waiting while runs were slow or new
/// connections refused, or soon after. Requests may then be rejected: a key
/// that changes its owner waits for runs to end, and an owner may be
/// unreachable.
bool SoakRound::mayBeRejected(const LoadGenerator::Call &Finished) const {
  return Finished.AnsweredAt_ > DelaysFrom_ &&
         Finished.SentAt_ < DelaysTo_ + MaxSlowRunTime;
}

/// Returns whether a call failed although planned operations must not affect
/// it.
bool SoakRound::isDisrupted(const LoadGenerator::Call &Finished) const {
  if (Finished.Outcome_ == Outcome::Ran || Finished.NotSent_)
    return false;
  return Finished.Outcome_ == Outcome::Unknown || !mayBeRejected(Finished);
}

void SoakRound::checkPlannedOperations() {
  for (const LoadGenerator::Call &Finished : Load_->calls())
    if (isDisrupted(Finished))
      Violations_.push_back("a planned operation disrupted a request: " +
                            describe(Finished));
}

/// Checks that no request runs again, because an attempt that was running was
/// given up.
void SoakRound::checkSingleRuns() {
  std::map<std::string, std::size_t> RunsByCall;
  for (const History::Run &Run : History_.Runs_)
    ++RunsByCall[Run.Call_];
  for (const History::CallAnswer &Answered : Load_->answers()) {
    const std::size_t Runs = RunsByCall[Answered.Call_];
    if (Runs > 1)
      Violations_.push_back("a planned operation made a request run " +
                            std::to_string(Runs) + " times: " + Answered.Call_);
  }
}

void SoakRound::checkDrains() {
  for (const Fault &Current : Plan_.Faults_) {
    if (Current.Kind_ != Fault::Kind::DrainUpstream)
      continue;
    const Instant From = StartedAt_ + Current.Start_ + DrainLimit;
    const Instant To = StartedAt_ + Current.Start_ + Current.Duration_;
    const std::string Name = "-h" + std::to_string(Current.Host_) + "-";
    for (const LoadGenerator::Call &Finished : Load_->calls())
      if (Finished.SentAt_ > From && Finished.AnsweredAt_ < To &&
          Finished.Instance_.find(Name) != std::string::npos)
        Violations_.push_back("a draining upstream got a request: " +
                              describe(Finished));
  }
}

void SoakRound::checkStatedLimits() {
  for (const StatedLimit &Limit : Limits_) {
    const Violations Found = checkStatedLimit(History_, Limit);
    Violations_.insert(Violations_.end(), Found.begin(), Found.end());
  }
}

bool SoakRound::wasKilled(const KeptConnections::Lost &Request) const {
  const auto [First, Last] = Kills_.equal_range(Request.Address_);
  return std::any_of(First, Last, [&Request](const auto &Kill) {
    return Request.SentAt_ <= Kill.second && Kill.second <= Request.EndedAt_;
  });
}

/// Checks that a daemon responds to each request that has arrived, however long
/// the connection was idle before.
void SoakRound::checkKeptConnections() {
  for (const KeptConnections::Lost &Request : Kept_->lost()) {
    const bool MayCross = !Request.PartOfResponse_ &&
                          Request.EndedAt_ - Request.SentAt_ <= CloseNotice;
    if (MayCross || wasKilled(Request))
      continue;
    Violations_.push_back(
        "a request on a kept connection got no complete response: " +
        Request.Call_ + " via " + Request.Address_ + ", idle for " +
        std::to_string(toMillis(Request.Idle_).count()) + " ms, sent at " +
        std::to_string(millisBetween(StartedAt_, Request.SentAt_)) +
        " ms, ended after " +
        std::to_string(millisBetween(Request.SentAt_, Request.EndedAt_)) +
        " ms: " + Request.Cause_);
  }
}

void SoakRound::checkRecovery() {
  const std::vector<LoadGenerator::Call> &Calls = Load_->calls();
  const Instant From = Calls.back().AnsweredAt_ - RecoveredPhase;
  for (const LoadGenerator::Call &Finished : Calls)
    if (Finished.SentAt_ > From && Finished.Outcome_ != Outcome::Ran)
      Violations_.push_back("a request failed after the recovery time: " +
                            describe(Finished));
}

} // namespace lagoonhitch

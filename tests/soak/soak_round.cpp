#include "tests/soak/soak_round.h"

#include "tests/process/run_files.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time in which all must be served again after the last fault.
constexpr seconds RecoverWithin{15};
/// Time from SIGTERM to the end of the process.
constexpr seconds StopWithin{6};
/// Time after which an upstream that leaves gets nothing new.
constexpr seconds DrainWithin{5};
/// The last part of a round, in which every call must run.
constexpr seconds CalmPart{1};
constexpr milliseconds LinkDelay{120};

std::string describe(const LoadGenerator::Call &One) {
  return One.Target_ + " over " + One.Address_ + " was answered " +
         std::to_string(One.Status_) + " " + outcomeName(One.Outcome_);
}

} // namespace

SoakRound::SoakRound(const Clock &Time, Site &Played, FaultPlan Plan,
                     std::uint64_t FirstCall, History &Events)
    : Time_(Time), Site_(Played), Plan_(std::move(Plan)), Events_(Events) {
  LoadGeneratorOptions Options;
  for (std::uint32_t Host = 0; Host < Site_.hosts(); ++Host)
    Options.Addresses_.push_back(Site_.callersAddress(Host));
  Options.FirstCall_ = FirstCall;
  Load_ = std::make_unique<LoadGenerator>(Time_, Options);
}

std::vector<SoakRound::Step> SoakRound::stepsOf(Instant Start) const {
  std::vector<Step> Steps;
  for (const Fault &One : Plan_.Faults_) {
    Steps.push_back({Start + One.At_, true, One});
    Steps.push_back({Start + One.At_ + One.For_, false, One});
  }
  std::sort(
      Steps.begin(), Steps.end(),
      [](const Step &Left, const Step &Right) { return Left.At_ < Right.At_; });
  return Steps;
}

Violations SoakRound::play() {
  const Instant Start = Time_.now();
  for (const Step &Next : stepsOf(Start)) {
    std::this_thread::sleep_for(Next.At_ - Time_.now());
    if (Next.Begins_)
      begin(Next.Fault_);
    else
      end(Next.Fault_);
  }
  std::this_thread::sleep_for(RecoverWithin + CalmPart);
  Load_->finish();
  Events_.Answers_.insert(Events_.Answers_.end(), Load_->answers().begin(),
                          Load_->answers().end());
  Events_.Runs_.clear();
  Events_.ServingIntervals_.clear();
  addRuns(Site_.runFiles(), Events_);
  const Violations Broken = checkAll(Events_);
  Found_.insert(Found_.end(), Broken.begin(), Broken.end());
  checkStops();
  checkRecovered();
  if (Plan_.PlannedOnly_) {
    checkPlanned();
    checkDrains(Start);
  }
  return Found_;
}

void SoakRound::begin(const Fault &One) {
  switch (One.Kind_) {
  case Fault::Kind::StopDaemon:
    stopDaemon(One);
    return;
  case Fault::Kind::ReloadDaemon:
    Site_.daemon(One.Host_).signal(SIGHUP);
    return;
  case Fault::Kind::DrainUpstream:
    Site_.setUpstreamMode(One.Host_, {{"draining", true}});
    return;
  case Fault::Kind::KillDaemon:
    Site_.daemon(One.Host_).signal(SIGKILL);
    Site_.daemon(One.Host_).wait();
    return;
  case Fault::Kind::FreezeDaemon:
    Site_.daemon(One.Host_).signal(SIGSTOP);
    return;
  case Fault::Kind::FreezeUpstream:
    Site_.upstream(One.Host_).signal(SIGSTOP);
    return;
  case Fault::Kind::SilenceLinks:
    Site_.relay(One.Host_).dropTraffic();
    return;
  case Fault::Kind::SilenceAnswers:
    Site_.relay(One.Host_).dropResponses();
    return;
  case Fault::Kind::ResetLinks:
    Site_.relay(One.Host_).reset();
    return;
  case Fault::Kind::DelayLinks:
    Site_.relay(One.Host_).setDelay(LinkDelay);
    return;
  case Fault::Kind::KillUpstream:
    // It is killed when its next life begins.
    return;
  default:
    beginStore(One.Kind_);
  }
}

void SoakRound::end(const Fault &One) {
  switch (One.Kind_) {
  case Fault::Kind::StopDaemon:
  case Fault::Kind::KillDaemon:
    Site_.restartDaemon(One.Host_);
    return;
  case Fault::Kind::DrainUpstream:
  case Fault::Kind::KillUpstream:
    Site_.restartUpstream(One.Host_);
    return;
  case Fault::Kind::FreezeDaemon:
    Site_.daemon(One.Host_).signal(SIGCONT);
    return;
  case Fault::Kind::FreezeUpstream:
    Site_.upstream(One.Host_).signal(SIGCONT);
    return;
  case Fault::Kind::DelayLinks:
    Site_.relay(One.Host_).setDelay(milliseconds(0));
    return;
  case Fault::Kind::ReloadDaemon:
  case Fault::Kind::SilenceLinks:
  case Fault::Kind::SilenceAnswers:
  case Fault::Kind::ResetLinks:
    return;
  default:
    endStore();
  }
}

void SoakRound::beginStore(Fault::Kind Kind) {
  switch (Kind) {
  case Fault::Kind::StoreDown:
    Site_.setStoreMode({{"down", true}});
    return;
  case Fault::Kind::StoreRefuses:
    Site_.setStoreMode({{"refuses", true}});
    return;
  case Fault::Kind::StoreSlow:
    Site_.setStoreMode({{"slow_ms", 700}});
    return;
  case Fault::Kind::StoreLosesAnswers:
    Site_.setStoreMode({{"lose_answers", 5}});
    return;
  default:
    Site_.setStoreMode({{"act_late_ms", 1200}});
  }
}

void SoakRound::endStore() {
  Site_.setStoreMode({{"down", false},
                      {"refuses", false},
                      {"slow_ms", 0},
                      {"lose_answers", 0},
                      {"act_late_ms", 0}});
}

void SoakRound::stopDaemon(const Fault &One) {
  Stop Asked;
  Asked.Host_ = One.Host_;
  Asked.Callers_ = Site_.callersAddress(One.Host_);
  Asked.AskedAt_ = Time_.now();
  ChildProcess &Daemon = Site_.daemon(One.Host_);
  Daemon.signal(SIGTERM);
  const std::optional<int> Code = Daemon.waitFor(StopWithin);
  Asked.EndedAt_ = Time_.now();
  Stops_.push_back(Asked);
  const std::string Name = "stop of host " + std::to_string(One.Host_);
  if (!Code) {
    Found_.push_back(Name + " took longer than it may");
    Daemon.signal(SIGKILL);
    Daemon.wait();
    return;
  }
  if (*Code != 0)
    Found_.push_back(Name + " ended with " + std::to_string(*Code));
}

/// Callers use their connections to a daemon that stops until it is gone.
void SoakRound::checkStops() {
  if (!Plan_.PlannedOnly_)
    return;
  for (const Stop &Asked : Stops_)
    for (const LoadGenerator::Call &One : Load_->calls())
      if (One.Address_ == Asked.Callers_ && One.SentAt_ < Asked.EndedAt_ &&
          One.AnsweredAt_ > Asked.AskedAt_ && One.Outcome_ != Outcome::Ran &&
          !One.NotSent_)
        Found_.push_back("a planned stop cut a request: " + describe(One));
}

void SoakRound::checkPlanned() {
  for (const LoadGenerator::Call &One : Load_->calls())
    if (One.Outcome_ != Outcome::Ran && !One.NotSent_)
      Found_.push_back("planned work disturbed a request: " + describe(One));
}

void SoakRound::checkDrains(Instant Start) {
  for (const Fault &One : Plan_.Faults_) {
    if (One.Kind_ != Fault::Kind::DrainUpstream)
      continue;
    const Instant From = Start + One.At_ + DrainWithin;
    const Instant To = Start + One.At_ + One.For_;
    const std::string Name = "-h" + std::to_string(One.Host_) + "-";
    for (const LoadGenerator::Call &Sent : Load_->calls())
      if (Sent.SentAt_ > From && Sent.AnsweredAt_ < To &&
          Sent.Instance_.find(Name) != std::string::npos)
        Found_.push_back("an upstream that leaves got " + describe(Sent));
  }
}

void SoakRound::checkRecovered() {
  const std::vector<LoadGenerator::Call> &Calls = Load_->calls();
  const Instant From = Calls.back().AnsweredAt_ - CalmPart;
  for (const LoadGenerator::Call &One : Calls)
    if (One.SentAt_ > From && One.Outcome_ != Outcome::Ran)
      Found_.push_back("not served after the faults: " + describe(One));
}

} // namespace lagoonhitch

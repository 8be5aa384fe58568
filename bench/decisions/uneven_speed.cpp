#include "bench/decisions/uneven_speed.h"

#include "bench/decisions/event_queue.h"
#include "limits/admission_queue.h"
#include "membership/digest_recipients.h"
#include "routing/host_choice.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace lagoonhitch {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr const char *Service = "s";
constexpr std::chrono::microseconds NetworkDelay{500};
/// Variance of the logarithm of the work of the requests of one class.
constexpr double LogVariance = 0.5;

/// The slowdown of an upstream from a point in time on.
struct SpeedPeriod {
  Instant Until_;
  double Slowdown_ = 1;
};

struct SimulatedRun {
  std::size_t EntryHost_ = 0;
  std::uint32_t Class_ = 0;
  Duration Work_{};
  Instant SentAt_;
  std::set<std::string> Tried_;
  std::uint32_t Attempt_ = 0;
  std::uint64_t Number_ = 0;
  std::size_t Target_ = 0;
};
using SimulatedRunPtr = std::shared_ptr<SimulatedRun>;

struct SimulatedDaemon {
  std::string Name_;
  std::string Zone_;
  Fleet Fleet_;
  WorkEstimate Works_;
  AdmissionQueue Queue_;
  std::vector<SpeedPeriod> Speeds_;
  std::map<std::uint64_t, std::pair<SimulatedRunPtr, QueuedRequest>> Queued_;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Started_ = 0;
  Duration BusyTime_{};
};

class UnevenSpeedSimulation {
public:
  explicit UnevenSpeedSimulation(const UnevenSpeedOptions &Options)
      : Options_(Options), Random_(Options.Seed_), Start_(Events_.now()) {
    Daemons_.resize(Options_.Daemons_);
    for (std::size_t Index = 0; Index < Daemons_.size(); ++Index)
      addDaemon(Index);
    for (SimulatedDaemon &Daemon : Daemons_)
      addMembers(Daemon);
    for (std::size_t Index = 0; Index < Upstreams(); ++Index)
      scheduleDigest(Index, Options_.DigestInterval_ * Index / Upstreams());
  }

  UnevenSpeedResult run() {
    scheduleArrival();
    scheduleTicks();
    Events_.runUntil(Start_ + Options_.Duration_);
    return result();
  }

private:
  std::size_t Upstreams() const { return Options_.Slowdowns_.size(); }

  void addDaemon(std::size_t Index) {
    SimulatedDaemon &Daemon = Daemons_[Index];
    Daemon.Name_ = std::to_string(Index);
    Daemon.Zone_ = std::to_string(Index % Options_.Zones_);
    if (Index >= Upstreams())
      return;
    resetForUpstream(Daemon.Queue_, Options_.Slots_);
    // Each upstream has its own random speed, which is the same with every
    // choice of hosts.
    std::mt19937_64 Random(Options_.Seed_ * 1000 + Index);
    std::exponential_distribution<double> UntilSlow(1 / 1.2);
    std::exponential_distribution<double> SlowFor(1 / 0.3);
    std::uniform_real_distribution<double> Factor(1.5, 3);
    const double Usual = Options_.Slowdowns_[Index];
    Instant At = Start_;
    const Instant End = Start_ + Options_.Duration_ * 2;
    while (At < End) {
      At += std::chrono::duration_cast<Duration>(Seconds(UntilSlow(Random)));
      Daemon.Speeds_.push_back({At, Usual});
      At += std::chrono::duration_cast<Duration>(Seconds(SlowFor(Random)));
      Daemon.Speeds_.push_back(
          {At, Usual * (Options_.SlowMoments_ ? Factor(Random) : 1)});
    }
  }

  void addMembers(SimulatedDaemon &Receiver) const {
    for (std::size_t Index = 0; Index < Daemons_.size(); ++Index) {
      MemberRecord Record;
      Record.Host_ = Daemons_[Index].Name_;
      Record.Zone_ = Daemons_[Index].Zone_;
      Record.Service_ = Index < Upstreams() ? Service : "other";
      Record.State_ = UpstreamState::Ready;
      applyRecord(Receiver.Fleet_, Record, Start_);
    }
  }

  LoadReport reportOf(std::size_t Index) const {
    return loadReport(Daemons_[Index].Queue_, Events_.now());
  }

  void scheduleDigest(std::size_t Index, Duration Delay) {
    Events_.after(Delay, [this, Index] {
      sendDigest(Index);
      scheduleDigest(Index, Options_.DigestInterval_);
    });
  }

  void sendDigest(std::size_t Index) {
    SimulatedDaemon &Sender = Daemons_[Index];
    const LoadReport Load = reportOf(Index);
    LoadDigest Digest;
    Digest.Host_ = Sender.Name_;
    Digest.Sequence_ = ++Sender.Sequence_;
    Digest.Accepting_ = true;
    Digest.Running_ = Load.Running_;
    Digest.Queued_ = Load.Queued_;
    Digest.Slots_ = Load.Slots_;
    Digest.ProcessingMillis_ = Load.ProcessingMillis_;
    Digest.Work_ = Load.Work_;
    Digest.IntervalMillis_ =
        static_cast<std::uint32_t>(Options_.DigestInterval_.count());
    for (const MemberRecord *Recipient : digestRecipients(
             Sender.Fleet_, Sender.Name_, false, DigestSampleOptions()))
      applyDigest(Daemons_[std::stoull(Recipient->Host_)].Fleet_, Digest,
                  Events_.now());
    applyDigest(Sender.Fleet_, Digest, Events_.now());
  }

  void scheduleTicks() {
    constexpr std::chrono::milliseconds TickInterval{50};
    for (std::size_t Index = 0; Index < Upstreams(); ++Index)
      dispatch(Index);
    Events_.after(TickInterval, [this] { scheduleTicks(); });
  }

  /// Returns the requests per second of the whole service.
  double rate() const {
    double Speed = 0;
    for (const double Slowdown : Options_.Slowdowns_)
      Speed += Options_.Slots_ / Slowdown;
    Seconds Work{};
    for (const SimulatedClass &Class : Options_.Classes_)
      Work += Class.MeanWork_;
    const double PerSecond =
        static_cast<double>(Options_.Classes_.size()) / Work.count();
    return Options_.Load_ * Speed * PerSecond;
  }

  void scheduleArrival() {
    std::exponential_distribution<double> Interval(rate());
    Events_.after(
        std::chrono::duration_cast<Duration>(Seconds(Interval(Random_))),
        [this] {
          startRequest();
          scheduleArrival();
        });
  }

  const SimulatedClass &classOf(const SimulatedRun &Run) const {
    return Options_.Classes_[Run.Class_ - 1];
  }

  void startRequest() {
    const SimulatedRunPtr Run = std::make_shared<SimulatedRun>();
    Run->EntryHost_ = Random_() % Daemons_.size();
    Run->Class_ =
        static_cast<std::uint32_t>(Random_() % Options_.Classes_.size()) + 1;
    const Seconds Mean = classOf(*Run).MeanWork_;
    std::lognormal_distribution<double> Work(
        std::log(Mean.count()) - LogVariance / 2, std::sqrt(LogVariance));
    Run->Work_ = std::chrono::duration_cast<Duration>(Seconds(Work(Random_)));
    Run->SentAt_ = Events_.now();
    attempt(Run);
  }

  void attempt(const SimulatedRunPtr &Run) {
    SimulatedDaemon &Entry = Daemons_[Run->EntryHost_];
    const Instant Now = Events_.now();
    HostChoice Choice;
    Choice.Service_ = Service;
    Choice.OwnHost_ = Entry.Name_;
    Choice.OwnZone_ = Entry.Zone_;
    Choice.Tried_ = Run->Tried_;
    if (findClassWork(Entry.Works_, Run->Class_) != nullptr)
      Choice.Request_.Work_ =
          expectedWork(Entry.Works_, Run->Class_, Entry.Works_.All_.Mean_);
    Choice.Request_.Rank_ = classOf(*Run).Rank_;
    Choice.Objective_ = classOf(*Run).Objective_;
    if (Run->EntryHost_ < Upstreams())
      applyLoadReport(*findMember(Entry.Fleet_, Entry.Name_),
                      reportOf(Run->EntryHost_), Now);
    const std::optional<std::string> Chosen =
        chooseHost(Entry.Fleet_, Choice, HostChoiceOptions(), Random_(), Now);
    Run->Target_ = Chosen ? std::stoull(*Chosen) : 0;
    FleetMember &Member =
        *findMember(Entry.Fleet_, Daemons_[Run->Target_].Name_);
    ++Member.InFlight_;
    ++Member.SentSinceLoadUpdate_;
    ++Run->Attempt_;
    Events_.after(NetworkDelay, [this, Run] { admit(Run); });
  }

  void admit(const SimulatedRunPtr &Run) {
    const Instant Now = Events_.now();
    const SimulatedClass &Class = classOf(*Run);
    QueuedRequest Request;
    Request.Number_ = ++LastNumber_;
    Run->Number_ = Request.Number_;
    Request.Rank_ = Class.Rank_;
    Request.Objective_ = Class.Objective_;
    Request.ObjectiveAt_ = Run->SentAt_ + Class.Objective_;
    Request.Deadline_ = Run->SentAt_ + Class.Timeout_;
    Request.Timeout_ = Request.Deadline_ - Now;
    Request.RejectedBefore_ = Run->Attempt_ > 1;
    Request.Class_ = Options_.ReportSlowdown_ ? Run->Class_ : 0;
    SimulatedDaemon &Target = Daemons_[Run->Target_];
    switch (submitRequest(Target.Queue_, Request, Now).Kind_) {
    case AdmissionDecision::Kind::Start:
      execute(Run, Request);
      return;
    case AdmissionDecision::Kind::Wait:
      Target.Queued_[Request.Number_] = {Run, Request};
      return;
    case AdmissionDecision::Kind::Reject:
      end(Run, false, std::nullopt);
      return;
    }
  }

  /// Returns the slowdown of an upstream, and until when it stays the same.
  static SpeedPeriod speedAt(const SimulatedDaemon &Target, Instant At) {
    return *std::upper_bound(Target.Speeds_.begin(), Target.Speeds_.end(), At,
                             [](Instant Time, const SpeedPeriod &Period) {
                               return Time < Period.Until_;
                             });
  }

  /// Returns when an upstream completes some work that begins at a time.
  static Instant completionOf(const SimulatedDaemon &Target, Instant At,
                              Duration Work) {
    while (true) {
      const SpeedPeriod Period = speedAt(Target, At);
      const auto Needed =
          std::chrono::duration_cast<Duration>(Work * Period.Slowdown_);
      if (At + Needed < Period.Until_)
        return At + Needed;
      Work -= std::chrono::duration_cast<Duration>((Period.Until_ - At) /
                                                   Period.Slowdown_);
      At = Period.Until_;
    }
  }

  void execute(const SimulatedRunPtr &Run, const QueuedRequest &Request) {
    const std::size_t Index = Run->Target_;
    SimulatedDaemon &Target = Daemons_[Index];
    ++Target.Started_;
    const Instant Now = Events_.now();
    const Duration Length = completionOf(Target, Now, Run->Work_) - Now;
    const Duration Held = std::min(Length, Request.Deadline_ - Now);
    const bool Completes = Length <= Held;
    Target.BusyTime_ += Held;
    Events_.after(Held, [this, Run, Request, Index, Held, Completes] {
      finish(Run, Request, Index, Held, Completes);
    });
  }

  void finish(const SimulatedRunPtr &Run, const QueuedRequest &Request,
              std::size_t Index, Duration Held, bool Completes) {
    SimulatedDaemon &Target = Daemons_[Index];
    const Instant Now = Events_.now();
    std::optional<Duration> Work;
    if (Completes) {
      if (Options_.ReportSlowdown_)
        observeSlowdown(Target.Queue_.Speed_,
                        static_cast<std::uint32_t>(
                            std::lround(speedAt(Target, Now).Slowdown_ * 100)),
                        Now);
      Work = learnWork(Target.Queue_, Request, Now);
    }
    finishRequest(Target.Queue_, Request,
                  Completes ? std::optional<Duration>(Held) : std::nullopt);
    end(Run, Completes, Work);
    dispatch(Index);
  }

  void dispatch(std::size_t Index) {
    SimulatedDaemon &Target = Daemons_[Index];
    const DispatchResult Result = dispatchWaiting(Target.Queue_, Events_.now());
    for (const QueuedRequest &Dropped : Result.Dropped_) {
      const SimulatedRunPtr Run = Target.Queued_.at(Dropped.Number_).first;
      Target.Queued_.erase(Dropped.Number_);
      end(Run, false, std::nullopt);
    }
    for (const QueuedRequest &Started : Result.Started_) {
      const SimulatedRunPtr Run = Target.Queued_.at(Started.Number_).first;
      Target.Queued_.erase(Started.Number_);
      execute(Run, Started);
    }
  }

  /// Ends an attempt. One that was rejected is followed by another.
  void end(const SimulatedRunPtr &Run, bool Completed,
           std::optional<Duration> Work) {
    const LoadReport Load = reportOf(Run->Target_);
    Events_.after(NetworkDelay, [this, Run, Completed, Work, Load] {
      SimulatedDaemon &Entry = Daemons_[Run->EntryHost_];
      const Instant Now = Events_.now();
      FleetMember &Member =
          *findMember(Entry.Fleet_, Daemons_[Run->Target_].Name_);
      --Member.InFlight_;
      applyLoadReport(Member, Load, Now);
      if (Work)
        addWorkSample(Entry.Works_, Run->Class_, *Work, Now);
      const SimulatedClass &Class = classOf(*Run);
      constexpr std::uint32_t MaxAttempts = 3;
      const bool TryAgain = !Completed && Run->Attempt_ < MaxAttempts &&
                            Now - Run->SentAt_ < Class.Timeout_;
      if (TryAgain) {
        Run->Tried_.insert(Daemons_[Run->Target_].Name_);
        attempt(Run);
        return;
      }
      record(*Run, Completed, Now);
    });
  }

  void record(const SimulatedRun &Run, bool Completed, Instant Now) {
    // The first second is used for learning.
    if (Run.SentAt_ - Start_ < std::chrono::seconds(1))
      return;
    const SimulatedClass &Class = classOf(Run);
    const Duration Taken =
        Completed ? Now - Run.SentAt_ : Duration(Class.Timeout_);
    Relative_.push_back(Seconds(Taken) / Seconds(Class.Objective_));
    Late_ += Relative_.back() > 1 ? 1 : 0;
    Lost_ += Completed ? 0 : 1;
  }

  UnevenSpeedResult result() {
    UnevenSpeedResult Result;
    std::sort(Relative_.begin(), Relative_.end());
    const auto Count = static_cast<double>(Relative_.size());
    for (const double Value : Relative_)
      Result.MeanRelative_ += Value / Count;
    constexpr std::size_t Percent = 95;
    Result.P95Relative_ = Relative_[Relative_.size() * Percent / 100];
    Result.LateShare_ = Late_ / Count;
    Result.LostShare_ = Lost_ / Count;
    double MostStarted = 0;
    double Started = 0;
    double MostBusy = 0;
    double Busy = 0;
    for (std::size_t Index = 0; Index < Upstreams(); ++Index) {
      const SimulatedDaemon &Daemon = Daemons_[Index];
      const auto Requests = static_cast<double>(Daemon.Started_);
      const double BusySeconds = Seconds(Daemon.BusyTime_).count();
      MostStarted = std::max(MostStarted, Requests);
      Started += Requests;
      MostBusy = std::max(MostBusy, BusySeconds);
      Busy += BusySeconds;
    }
    const auto Hosts = static_cast<double>(Upstreams());
    Result.BusiestToMean_ = MostStarted * Hosts / Started;
    Result.BusiestTimeToMean_ = MostBusy * Hosts / Busy;
    return Result;
  }

  UnevenSpeedOptions Options_;
  std::mt19937_64 Random_;
  EventQueue Events_;
  Instant Start_;
  std::vector<SimulatedDaemon> Daemons_;
  std::uint64_t LastNumber_ = 0;
  std::vector<double> Relative_;
  double Late_ = 0;
  double Lost_ = 0;
};

ScenarioRow makeRow(const UnevenSpeedOptions &Options,
                    const std::string &Figure,
                    const std::vector<UnevenSpeedResult> &Results,
                    double UnevenSpeedResult::*Value) {
  std::vector<std::pair<double, std::uint64_t>> Values;
  for (std::size_t Index = 0; Index < Results.size(); ++Index)
    Values.emplace_back(Results[Index].*Value, Options.Seed_ + Index);
  std::sort(Values.begin(), Values.end());
  ScenarioRow Row;
  Row.Scenario_ = "uneven_speed";
  Row.Policy_ = Options.ReportSlowdown_ ? "by work and speed" : "by counts";
  Row.Figure_ = Figure;
  Row.Median_ = Values[Values.size() / 2].first;
  Row.Worst_ = Values.back().first;
  Row.WorstSeed_ = Values.back().second;
  return Row;
}

} // namespace

UnevenSpeedOptions unevenSpeedOptions() {
  using std::chrono::milliseconds;
  constexpr std::size_t Upstreams = 20;
  constexpr double Fastest = 0.5;
  constexpr double Slowest = 2.4;
  UnevenSpeedOptions Options;
  // Evenly distributed on a logarithmic scale, in an order without relation to
  // the zones.
  for (std::size_t Index = 0; Index < Upstreams; ++Index)
    Options.Slowdowns_.push_back(
        Fastest *
        std::pow(Slowest / Fastest, static_cast<double>(Index * 7 % Upstreams) /
                                        static_cast<double>(Upstreams - 1)));
  Options.Classes_ = {
      {milliseconds(59), milliseconds(200), milliseconds(800), 0},
      {milliseconds(100), milliseconds(600), milliseconds(2000), 1},
      {milliseconds(300), milliseconds(600), milliseconds(2000), 1},
      {milliseconds(404), milliseconds(1200), milliseconds(4000), 2}};
  return Options;
}

UnevenSpeedResult simulateUnevenSpeed(const UnevenSpeedOptions &Options) {
  return UnevenSpeedSimulation(Options).run();
}

std::vector<ScenarioRow> unevenSpeedRows(std::uint64_t FirstSeed,
                                         std::uint32_t Seeds) {
  std::vector<ScenarioRow> Rows;
  for (const bool ReportSlowdown : {true, false}) {
    UnevenSpeedOptions Options = unevenSpeedOptions();
    Options.ReportSlowdown_ = ReportSlowdown;
    std::vector<UnevenSpeedResult> Results;
    for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed) {
      Options.Seed_ = Seed;
      Results.push_back(simulateUnevenSpeed(Options));
    }
    Options.Seed_ = FirstSeed;
    Rows.push_back(makeRow(Options, "mean time/objective", Results,
                           &UnevenSpeedResult::MeanRelative_));
    Rows.push_back(makeRow(Options, "p95 time/objective", Results,
                           &UnevenSpeedResult::P95Relative_));
    Rows.push_back(makeRow(Options, "late share", Results,
                           &UnevenSpeedResult::LateShare_));
    Rows.push_back(makeRow(Options, "not served share", Results,
                           &UnevenSpeedResult::LostShare_));
    Rows.push_back(makeRow(Options, "busiest/mean requests", Results,
                           &UnevenSpeedResult::BusiestToMean_));
    Rows.push_back(makeRow(Options, "busiest/mean busy time", Results,
                           &UnevenSpeedResult::BusiestTimeToMean_));
  }
  return Rows;
}

} // namespace lagoonhitch

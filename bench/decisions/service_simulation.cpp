#include "bench/decisions/service_simulation.h"

#include "bench/decisions/baseline_policy.h"
#include "bench/decisions/current_policy.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace lagoonhitch {

namespace {

/// A daemon and its upstream.
struct SimulatedHost {
  std::unique_ptr<FakeUpstream> Upstream_;
  /// Continuations of the requests in the admission queue, by number. They are
  /// called with true if the request is started, false if it is dropped.
  std::map<std::uint64_t, std::function<void(bool)>> Queued_;
  std::uint32_t Zone_ = 0;
  RetryBudget RetryBudget_;
  /// Attempts that have arrived at the upstream's admission queue.
  std::uint64_t Arrivals_ = 0;
  /// Those of them in the present second.
  std::uint64_t ArrivalsInSecond_ = 0;
};

struct SimulatedRequest {
  std::size_t EntryHost_ = 0;
  std::size_t PriorityClass_ = 0;
  Instant SentAt_;
  Instant Deadline_;
  std::size_t TargetHost_ = 0;
  /// Hosts that have rejected the request.
  std::set<std::size_t> Tried_;
  std::uint32_t Retries_ = 0;
};

using SimulatedRequestPtr = std::shared_ptr<SimulatedRequest>;

class ServiceSimulation {
public:
  explicit ServiceSimulation(const ServiceSimulationOptions &Options)
      : Options_(Options), Random_(Options.Seed_), Start_(Events_.now()) {
    const std::size_t Daemons =
        std::max(Options.Daemons_, Options.Upstreams_.size());
    for (std::size_t Index = 0; Index < Daemons; ++Index)
      addHost(Index);
    if (Options.Policy_ == PolicyKind::Current)
      Policy_ = std::make_unique<CurrentPolicy>(Options, Random_(), Start_);
    else
      Policy_ = std::make_unique<BaselinePolicy>(Options, Random_());
  }

  ServiceSimulationResult run() {
    scheduleArrival();
    scheduleTicks();
    scheduleFaults();
    scheduleSecond();
    const Instant End = Start_ + Options_.Duration_;
    const std::chrono::seconds LastSecond{1};
    Events_.runUntil(End - LastSecond);
    const std::vector<std::uint64_t> CountsBefore = successCounts();
    Events_.runUntil(End);
    computeResult(CountsBefore);
    return std::move(Result_);
  }

private:
  void addHost(std::size_t Index) {
    Hosts_.emplace_back();
    SimulatedHost &Host = Hosts_.back();
    Host.Zone_ = static_cast<std::uint32_t>(Index) % Options_.Zones_;
    if (Index >= Options_.Upstreams_.size())
      return;
    const FakeUpstreamOptions &UpstreamOptions = Options_.Upstreams_[Index];
    Host.Upstream_ =
        std::make_unique<FakeUpstream>(Events_, UpstreamOptions, Random_());
    Result_.Capacity_ +=
        UpstreamOptions.Slots_ * UpstreamOptions.Speed_ /
        std::chrono::duration<double>(UpstreamOptions.MeanProcessingTime_)
            .count();
  }

  std::vector<std::uint64_t> successCounts() const {
    std::vector<std::uint64_t> Counts;
    for (std::size_t Index = 0; Index < Options_.Upstreams_.size(); ++Index)
      Counts.push_back(Hosts_[Index].Upstream_->successCount());
    return Counts;
  }

  bool isOverloaded() const {
    return Options_.OverloadRate_ > 0 &&
           Events_.now() - Start_ >= Options_.OverloadFrom_;
  }

  void scheduleArrival() {
    const double Rate =
        isOverloaded() ? Options_.OverloadRate_ : Options_.Rate_;
    std::exponential_distribution<double> InterArrivalTime(Rate);
    Events_.after(std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(InterArrivalTime(Random_))),
                  [this] {
                    startRequest();
                    scheduleArrival();
                  });
  }

  void scheduleTicks() {
    constexpr std::chrono::milliseconds TickInterval{50};
    for (std::size_t Index = 0; Index < Options_.Upstreams_.size(); ++Index)
      applyDispatch(Index, Policy_->tick(Index, Events_.now()));
    Events_.after(TickInterval, [this] { scheduleTicks(); });
  }

  void scheduleSecond() {
    Events_.after(std::chrono::seconds(1), [this] {
      endSecond();
      scheduleSecond();
    });
  }

  void endSecond() {
    Result_.BusiestToMeanInSecond_ =
        std::max(Result_.BusiestToMeanInSecond_,
                 busiestToMean(&SimulatedHost::ArrivalsInSecond_));
    for (SimulatedHost &Host : Hosts_)
      Host.ArrivalsInSecond_ = 0;
  }

  /// Returns the highest count of an upstream, divided by the mean.
  double busiestToMean(std::uint64_t SimulatedHost::*Count) const {
    std::uint64_t Highest = 0;
    std::uint64_t Total = 0;
    const std::size_t Upstreams = Options_.Upstreams_.size();
    for (std::size_t Index = 0; Index < Upstreams; ++Index) {
      Highest = std::max(Highest, Hosts_[Index].*Count);
      Total += Hosts_[Index].*Count;
    }
    return Total == 0 ? 0
                      : static_cast<double>(Highest * Upstreams) /
                            static_cast<double>(Total);
  }

  void scheduleFaults() {
    if (Options_.Stragglers_)
      Events_.after(std::chrono::seconds(1),
                    [this] { slowDownRandomUpstream(); });
    if (Options_.ColdAt_.count() > 0)
      Events_.after(Options_.ColdAt_, [this] { turnCold(); });
    if (Options_.ErrorPercent_ == 0)
      return;
    Events_.after(Options_.ErrorsFrom_,
                  [this] { setErrorPercent(Options_.ErrorPercent_); });
    Events_.after(Options_.ErrorsUntil_, [this] { setErrorPercent(0); });
  }

  /// Makes upstream 0 cold. The policy learns the rate that it can handle from
  /// its next heartbeat.
  void turnCold() {
    constexpr std::chrono::milliseconds HeartbeatInterval{300};
    Hosts_[0].Upstream_->turnCold();
    const FakeUpstreamOptions &UpstreamOptions = Options_.Upstreams_[0];
    const double PerSecond =
        UpstreamOptions.ColdSlots_ /
        (2 * std::chrono::duration<double>(UpstreamOptions.MeanProcessingTime_)
                 .count());
    const std::chrono::duration<double> ColdDuration(
        UpstreamOptions.RequestsUntilWarm_ / PerSecond);
    Events_.after(HeartbeatInterval, [this, ColdDuration, PerSecond] {
      Policy_->onUpstreamCold(
          0, std::chrono::duration_cast<Duration>(ColdDuration), PerSecond,
          Events_.now());
    });
  }

  void slowDownRandomUpstream() {
    constexpr double Factor = 20;
    Hosts_[Random_() % Options_.Upstreams_.size()].Upstream_->slowDown(
        Factor, std::chrono::milliseconds(300));
    Events_.after(std::chrono::seconds(1),
                  [this] { slowDownRandomUpstream(); });
  }

  void setErrorPercent(std::uint32_t Percent) {
    for (std::size_t Index = 0; Index < Options_.Upstreams_.size(); ++Index)
      Hosts_[Index].Upstream_->setErrorPercent(Percent);
  }

  /// Returns the host that receives the next request from its caller.
  std::size_t randomEntryHost() {
    std::size_t Index = Random_() % Hosts_.size();
    while (Options_.CallerZones_ > 0 &&
           Hosts_[Index].Zone_ >= Options_.CallerZones_)
      Index = Random_() % Hosts_.size();
    return Index;
  }

  void startRequest() {
    const SimulatedRequestPtr Request = std::make_shared<SimulatedRequest>();
    Request->EntryHost_ = randomEntryHost();
    Request->PriorityClass_ = Random_() % PriorityCount;
    Request->SentAt_ = Events_.now();
    Request->Deadline_ =
        Events_.now() + Options_.Deadlines_[Request->PriorityClass_];
    ++Result_.Sent_[Request->PriorityClass_];
    addRetryTokens(Hosts_[Request->EntryHost_].RetryBudget_, 10);
    attempt(Request);
  }

  Duration networkDelay(const SimulatedRequest &Request) const {
    const bool SameZone =
        Hosts_[Request.EntryHost_].Zone_ == Hosts_[Request.TargetHost_].Zone_;
    return SameZone ? Duration(std::chrono::microseconds(50))
                    : Duration(Options_.ZoneDelay_);
  }

  void attempt(const SimulatedRequestPtr &Request) {
    const Instant SentAt = Events_.now();
    Request->TargetHost_ =
        Policy_->chooseTarget(Request->EntryHost_, Request->Tried_, SentAt);
    ++Result_.Attempts_;
    Policy_->onAttemptSent(Request->EntryHost_, Request->TargetHost_);
    Events_.after(networkDelay(*Request),
                  [this, Request, SentAt] { admitAtTarget(Request, SentAt); });
  }

  void admitAtTarget(const SimulatedRequestPtr &Request, Instant SentAt) {
    const BenchRequest Submitted = {++LastRequestNumber_,
                                    Request->PriorityClass_, Request->SentAt_,
                                    Request->Deadline_};
    ++Hosts_[Request->TargetHost_].Arrivals_;
    ++Hosts_[Request->TargetHost_].ArrivalsInSecond_;
    if (!Options_.UseAdmission_) {
      runAtUpstream(Request, Submitted, SentAt);
      return;
    }
    switch (Policy_->admit(Request->TargetHost_, Submitted, Events_.now())) {
    case BenchDecision::Start:
      Result_.QueueTime_.add(Duration::zero());
      runAtUpstream(Request, Submitted, SentAt);
      return;
    case BenchDecision::Wait:
      Hosts_[Request->TargetHost_].Queued_[Submitted.Number_] =
          [this, Request, Submitted, SentAt,
           QueuedAt = Events_.now()](bool Started) {
            if (!Started) {
              sendResult(Request, SentAt, BenchOutcome::Shed);
              return;
            }
            Result_.QueueTime_.add(Events_.now() - QueuedAt);
            runAtUpstream(Request, Submitted, SentAt);
          };
      return;
    case BenchDecision::Reject:
      sendResult(Request, SentAt, BenchOutcome::Shed);
      return;
    }
  }

  void runAtUpstream(const SimulatedRequestPtr &Request,
                     const BenchRequest &Submitted, Instant SentAt) {
    const std::size_t Index = Request->TargetHost_;
    const Instant StartedAt = Events_.now();
    Hosts_[Index].Upstream_->run([this, Request, Submitted, SentAt, StartedAt,
                                  Index](FakeUpstream::Outcome Reported) {
      const BenchOutcome Outcome =
          Reported == FakeUpstream::Outcome::Success ? BenchOutcome::Success
          : Reported == FakeUpstream::Outcome::Error ? BenchOutcome::Error
                                                     : BenchOutcome::Shed;
      const Instant Now = Events_.now();
      if (Options_.UseAdmission_)
        applyDispatch(Index,
                      Policy_->onRequestFinished(Index, Submitted, Outcome,
                                                 Now - StartedAt, Now));
      sendResult(Request, SentAt, Outcome);
    });
  }

  void applyDispatch(std::size_t Index, const BenchDispatch &Dispatched) {
    for (const std::uint64_t Number : Dispatched.Dropped_)
      resumeQueued(Hosts_[Index], Number, false);
    for (const std::uint64_t Number : Dispatched.Started_)
      resumeQueued(Hosts_[Index], Number, true);
  }

  static void resumeQueued(SimulatedHost &Host, std::uint64_t Number,
                           bool Started) {
    const std::function<void(bool)> Resume = std::move(Host.Queued_.at(Number));
    Host.Queued_.erase(Number);
    Resume(Started);
  }

  void sendResult(const SimulatedRequestPtr &Request, Instant SentAt,
                  BenchOutcome Outcome) {
    Events_.after(networkDelay(*Request), [this, Request, SentAt, Outcome] {
      handleAttemptEnd(Request, SentAt, Outcome);
    });
  }

  void handleAttemptEnd(const SimulatedRequestPtr &Request, Instant SentAt,
                        BenchOutcome Outcome) {
    Policy_->onAttemptEnded(Request->EntryHost_, Request->TargetHost_,
                            Events_.now() - SentAt,
                            Outcome == BenchOutcome::Shed, Events_.now());
    if (Outcome == BenchOutcome::Success) {
      recordSuccess(*Request);
      return;
    }
    constexpr std::size_t MaxRejections = 2;
    if (Outcome == BenchOutcome::Shed &&
        Request->Tried_.size() < MaxRejections) {
      Request->Tried_.insert(Request->TargetHost_);
      attempt(Request);
      return;
    }
    if (Outcome == BenchOutcome::Error &&
        takeRetry(Hosts_[Request->EntryHost_], *Request)) {
      ++Request->Retries_;
      attempt(Request);
      return;
    }
    recordFailure(Outcome);
  }

  bool takeRetry(SimulatedHost &EntryHost,
                 const SimulatedRequest &Request) const {
    constexpr std::uint32_t MaxRetries = 3;
    return Options_.UseRetryBudget_ ? spendRetryTokens(EntryHost.RetryBudget_)
                                    : Request.Retries_ < MaxRetries;
  }

  void recordFailure(BenchOutcome Outcome) {
    if (Outcome == BenchOutcome::Shed)
      ++Result_.Rejected_;
    else if (Events_.now() - Start_ >
             Options_.ErrorsUntil_ + std::chrono::seconds(2))
      ++Result_.ErrorsAfterFault_;
  }

  void recordSuccess(const SimulatedRequest &Request) {
    ++Result_.Answered_[Request.PriorityClass_];
    Result_.Latency_[Request.PriorityClass_].add(Events_.now() -
                                                 Request.SentAt_);
    if (Events_.now() <= Request.Deadline_ &&
        Events_.now() - Start_ >= Options_.OverloadFrom_)
      ++AnsweredInTime_;
  }

  void computeResult(const std::vector<std::uint64_t> &CountsBefore) {
    double Highest = 0;
    double WeightedSum = 0;
    double TotalSpeed = 0;
    double SuccessesInLastSecond = 0;
    const std::size_t Upstreams = Options_.Upstreams_.size();
    for (std::size_t Index = 0; Index < Upstreams; ++Index) {
      const FakeUpstreamOptions &UpstreamOptions = Options_.Upstreams_[Index];
      const double BusyPerSlot =
          std::chrono::duration<double>(Hosts_[Index].Upstream_->busyTime())
              .count() /
          UpstreamOptions.Slots_;
      Highest = std::max(Highest, BusyPerSlot);
      WeightedSum += BusyPerSlot * UpstreamOptions.Speed_;
      TotalSpeed += UpstreamOptions.Speed_;
      SuccessesInLastSecond += static_cast<double>(
          Hosts_[Index].Upstream_->successCount() - CountsBefore[Index]);
    }
    Result_.BusiestToMean_ = busiestToMean(&SimulatedHost::Arrivals_);
    Result_.Imbalance_ = Highest / (WeightedSum / TotalSpeed);
    Result_.Goodput_ = static_cast<double>(AnsweredInTime_) /
                       std::chrono::duration<double>(Options_.Duration_ -
                                                     Options_.OverloadFrom_)
                           .count();
    Result_.ShedByCold_ = Hosts_[0].Upstream_->shedCount();
    Result_.ShareAtEnd_ =
        static_cast<double>(Hosts_[0].Upstream_->successCount() -
                            CountsBefore[0]) /
        (SuccessesInLastSecond / static_cast<double>(Upstreams));
  }

  ServiceSimulationOptions Options_;
  std::mt19937_64 Random_;
  EventQueue Events_;
  Instant Start_;
  std::vector<SimulatedHost> Hosts_;
  std::unique_ptr<FleetPolicy> Policy_;
  std::uint64_t LastRequestNumber_ = 0;
  std::uint64_t AnsweredInTime_ = 0;
  ServiceSimulationResult Result_;
};

} // namespace

const char *policyName(PolicyKind Policy) {
  static constexpr const char *Names[] = {
      "ours",        "earlier",         "random",
      "round robin", "least in flight", "two choices"};
  return Names[static_cast<std::size_t>(Policy)];
}

ServiceSimulationResult
simulateService(const ServiceSimulationOptions &Options) {
  return ServiceSimulation(Options).run();
}

} // namespace lagoonhitch

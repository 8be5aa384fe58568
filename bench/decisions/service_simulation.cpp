#include "bench/decisions/service_simulation.h"

#include "bench/decisions/baseline_policy.h"
#include "bench/decisions/current_policy.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace lagoonhitch {

namespace {

/// One daemon with its upstream.
struct Host {
  std::unique_ptr<FakeUpstream> Upstream_;
  std::map<std::uint64_t, std::function<void(bool)>> Queued_;
  std::uint32_t Zone_ = 0;
  RetryBudget Budget_;
};

struct Request {
  std::size_t Entry_ = 0;
  std::size_t Class_ = 0;
  Instant SentAt_;
  Instant Deadline_;
  std::size_t Target_ = 0;
  /// Hosts that have refused it.
  std::set<std::size_t> Tried_;
  std::uint32_t Retries_ = 0;
};

using RequestPtr = std::shared_ptr<Request>;

class SharedRun {
public:
  explicit SharedRun(const SharedRunOptions &Options)
      : Options_(Options), Random_(Options.Seed_), Start_(Time_.now()) {
    for (std::size_t Index = 0; Index < Options.Upstreams_.size(); ++Index)
      addHost(Index);
    if (Options.Policy_ == ChoicePolicy::Ours)
      Decisions_ =
          std::make_unique<PresentDecisions>(Options, Random_(), Start_);
    else
      Decisions_ = std::make_unique<EarlierDecisions>(Options, Random_());
  }

  SharedRunResult run() {
    scheduleArrival();
    scheduleTicks();
    scheduleFaults();
    const Instant End = Start_ + Options_.Span_;
    const std::chrono::seconds LastSecond{1};
    Time_.runUntil(End - LastSecond);
    const std::vector<std::uint64_t> Before = goodCounts();
    Time_.runUntil(End);
    finish(Before);
    return std::move(Result_);
  }

private:
  void addHost(std::size_t Index) {
    const FakeUpstreamOptions &Kind = Options_.Upstreams_[Index];
    Host One;
    One.Upstream_ = std::make_unique<FakeUpstream>(Time_, Kind, Random_());
    One.Zone_ = static_cast<std::uint32_t>(Index) % Options_.Zones_;
    Hosts_.push_back(std::move(One));
    Result_.Capacity_ += Kind.Slots_ * Kind.Speed_ /
                         std::chrono::duration<double>(Kind.MeanTime_).count();
  }

  std::vector<std::uint64_t> goodCounts() const {
    std::vector<std::uint64_t> Counts;
    for (const Host &One : Hosts_)
      Counts.push_back(One.Upstream_->good());
    return Counts;
  }

  bool isRaining() const {
    return Options_.RainRate_ > 0 && Time_.now() - Start_ >= Options_.RainFrom_;
  }

  void scheduleArrival() {
    const double Rate = isRaining() ? Options_.RainRate_ : Options_.Rate_;
    std::exponential_distribution<double> Gap(Rate);
    Time_.after(std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(Gap(Random_))),
                [this] {
                  arrive();
                  scheduleArrival();
                });
  }

  void scheduleTicks() {
    constexpr std::chrono::milliseconds TickEvery{50};
    for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
      wakeAll(Index, Decisions_->tick(Index, Time_.now()));
    Time_.after(TickEvery, [this] { scheduleTicks(); });
  }

  void scheduleFaults() {
    if (Options_.Stragglers_)
      Time_.after(std::chrono::seconds(1), [this] { straggle(); });
    if (Options_.ColdAt_.count() > 0)
      Time_.after(Options_.ColdAt_, [this] { turnCold(); });
    if (Options_.ErrorPercent_ == 0)
      return;
    Time_.after(Options_.ErrorsFrom_,
                [this] { setErrors(Options_.ErrorPercent_); });
    Time_.after(Options_.ErrorsUntil_, [this] { setErrors(0); });
  }

  /// The upstream turns cold, and its next heartbeat tells what it bears.
  void turnCold() {
    constexpr std::chrono::milliseconds HeartbeatEvery{300};
    Hosts_[0].Upstream_->turnCold();
    const FakeUpstreamOptions &Kind = Options_.Upstreams_[0];
    const double PerSecond =
        Kind.ColdSlots_ /
        (2 * std::chrono::duration<double>(Kind.MeanTime_).count());
    const std::chrono::duration<double> For(Kind.WarmAfter_ / PerSecond);
    Time_.after(HeartbeatEvery, [this, For, PerSecond] {
      Decisions_->onCold(0, std::chrono::duration_cast<Duration>(For),
                         PerSecond, Time_.now());
    });
  }

  void straggle() {
    constexpr double Factor = 20;
    Hosts_[Random_() % Hosts_.size()].Upstream_->slowDown(
        Factor, std::chrono::milliseconds(300));
    Time_.after(std::chrono::seconds(1), [this] { straggle(); });
  }

  void setErrors(std::uint32_t Percent) {
    for (Host &One : Hosts_)
      One.Upstream_->setErrors(Percent);
  }

  void arrive() {
    const RequestPtr One = std::make_shared<Request>();
    One->Entry_ = Random_() % Hosts_.size();
    One->Class_ = Random_() % PriorityCount;
    One->SentAt_ = Time_.now();
    One->Deadline_ = Time_.now() + Options_.Deadlines_[One->Class_];
    ++Result_.Sent_[One->Class_];
    earnRetry(Hosts_[One->Entry_].Budget_, 10);
    attempt(One);
  }

  Duration travel(const Request &One) const {
    const bool Near = Hosts_[One.Entry_].Zone_ == Hosts_[One.Target_].Zone_;
    return Near ? Duration(std::chrono::microseconds(50))
                : Duration(Options_.ZoneDelay_);
  }

  void attempt(const RequestPtr &One) {
    const Instant SentAt = Time_.now();
    One->Target_ = Decisions_->choose(One->Entry_, One->Tried_, SentAt);
    ++Result_.Attempts_;
    Decisions_->onSent(One->Entry_, One->Target_);
    Time_.after(travel(*One),
                [this, One, SentAt] { admitAtOwner(One, SentAt); });
  }

  void admitAtOwner(const RequestPtr &One, Instant SentAt) {
    const BenchTicket Ticket = {++NextTicket_, One->Class_, One->SentAt_,
                                One->Deadline_};
    if (!Options_.Admission_) {
      runAtUpstream(One, Ticket, SentAt);
      return;
    }
    switch (Decisions_->admit(One->Target_, Ticket, Time_.now())) {
    case BenchVerdict::Start:
      runAtUpstream(One, Ticket, SentAt);
      return;
    case BenchVerdict::Wait:
      Hosts_[One->Target_].Queued_[Ticket.Number_] = [this, One, Ticket,
                                                      SentAt](bool Started) {
        if (Started)
          runAtUpstream(One, Ticket, SentAt);
        else
          travelBack(One, SentAt, BenchEnd::Shed);
      };
      return;
    case BenchVerdict::Refuse:
      travelBack(One, SentAt, BenchEnd::Shed);
      return;
    }
  }

  void runAtUpstream(const RequestPtr &One, const BenchTicket &Ticket,
                     Instant SentAt) {
    const std::size_t Index = One->Target_;
    const Instant StartedAt = Time_.now();
    Hosts_[Index].Upstream_->run([this, One, Ticket, SentAt, StartedAt,
                                  Index](FakeUpstream::End Ended) {
      const BenchEnd End = Ended == FakeUpstream::End::Good    ? BenchEnd::Good
                           : Ended == FakeUpstream::End::Error ? BenchEnd::Error
                                                               : BenchEnd::Shed;
      const Instant Now = Time_.now();
      if (Options_.Admission_)
        wakeAll(Index,
                Decisions_->onEnded(Index, Ticket, End, Now - StartedAt, Now));
      travelBack(One, SentAt, End);
    });
  }

  void wakeAll(std::size_t Index, const BenchChange &Change) {
    for (const std::uint64_t Number : Change.Dropped_)
      wakeQueued(Hosts_[Index], Number, false);
    for (const std::uint64_t Number : Change.Started_)
      wakeQueued(Hosts_[Index], Number, true);
  }

  static void wakeQueued(Host &Owner, std::uint64_t Id, bool Started) {
    const std::function<void(bool)> Wake = std::move(Owner.Queued_.at(Id));
    Owner.Queued_.erase(Id);
    Wake(Started);
  }

  void travelBack(const RequestPtr &One, Instant SentAt, BenchEnd End) {
    Time_.after(travel(*One),
                [this, One, SentAt, End] { endAttempt(One, SentAt, End); });
  }

  void endAttempt(const RequestPtr &One, Instant SentAt, BenchEnd End) {
    Decisions_->onAnswered(One->Entry_, One->Target_, Time_.now() - SentAt,
                           End == BenchEnd::Shed, Time_.now());
    if (End == BenchEnd::Good) {
      answer(*One);
      return;
    }
    constexpr std::size_t MaxRefusals = 2;
    if (End == BenchEnd::Shed && One->Tried_.size() < MaxRefusals) {
      One->Tried_.insert(One->Target_);
      attempt(One);
      return;
    }
    if (End == BenchEnd::Error && mayRetry(Hosts_[One->Entry_], *One)) {
      ++One->Retries_;
      attempt(One);
      return;
    }
    countFailure(End);
  }

  bool mayRetry(Host &Entry, const Request &One) const {
    constexpr std::uint32_t MostRetries = 3;
    return Options_.Budget_ ? spendRetry(Entry.Budget_)
                            : One.Retries_ < MostRetries;
  }

  void countFailure(BenchEnd End) {
    if (End == BenchEnd::Shed)
      ++Result_.Refused_;
    else if (Time_.now() - Start_ >
             Options_.ErrorsUntil_ + std::chrono::seconds(2))
      ++Result_.ErrorsAfterFault_;
  }

  void answer(const Request &One) {
    ++Result_.Answered_[One.Class_];
    Result_.Latency_[One.Class_].add(Time_.now() - One.SentAt_);
    if (Time_.now() <= One.Deadline_ &&
        Time_.now() - Start_ >= Options_.RainFrom_)
      ++InTime_;
  }

  void finish(const std::vector<std::uint64_t> &Before) {
    double Highest = 0;
    double Total = 0;
    double Weight = 0;
    double GoodInLastSecond = 0;
    for (std::size_t Index = 0; Index < Hosts_.size(); ++Index) {
      const FakeUpstreamOptions &Kind = Options_.Upstreams_[Index];
      const double Busy =
          std::chrono::duration<double>(Hosts_[Index].Upstream_->busy())
              .count() /
          Kind.Slots_;
      Highest = std::max(Highest, Busy);
      Total += Busy * Kind.Speed_;
      Weight += Kind.Speed_;
      GoodInLastSecond +=
          static_cast<double>(Hosts_[Index].Upstream_->good() - Before[Index]);
    }
    Result_.Imbalance_ = Highest / (Total / Weight);
    Result_.Goodput_ =
        static_cast<double>(InTime_) /
        std::chrono::duration<double>(Options_.Span_ - Options_.RainFrom_)
            .count();
    Result_.ShedByCold_ = Hosts_[0].Upstream_->shed();
    Result_.ShareAtEnd_ =
        static_cast<double>(Hosts_[0].Upstream_->good() - Before[0]) /
        (GoodInLastSecond / static_cast<double>(Hosts_.size()));
  }

  SharedRunOptions Options_;
  std::mt19937_64 Random_;
  Agenda Time_;
  Instant Start_;
  std::vector<Host> Hosts_;
  std::unique_ptr<Decisions> Decisions_;
  std::uint64_t NextTicket_ = 0;
  std::uint64_t InTime_ = 0;
  SharedRunResult Result_;
};

} // namespace

const char *policyName(ChoicePolicy Policy) {
  static constexpr const char *Names[] = {
      "ours",        "earlier",         "random",
      "round robin", "least in flight", "two choices"};
  return Names[static_cast<std::size_t>(Policy)];
}

SharedRunResult runShared(const SharedRunOptions &Options) {
  return SharedRun(Options).run();
}

} // namespace lagoonhitch

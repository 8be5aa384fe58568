#include "bench/decisions/shared_run.h"

#include <algorithm>
#include <functional>
#include <map>

namespace lagoonhitch {

namespace {

/// One daemon with its upstream: an entry and an owner side.
struct Host {
  std::unique_ptr<FakeUpstream> Upstream_;
  Admission Admission_;
  std::map<Ticket, std::function<void(bool)>> Queued_;
  std::uint32_t Zone_ = 0;
  // The entry's side.
  UpstreamCandidates Candidates_;
  UpstreamLoads Loads_;
  RetryBudget Budget_;
  std::uint64_t Seed_ = 0;
  std::size_t NextInTurn_ = 0;
};

struct Request {
  std::size_t Entry_ = 0;
  std::size_t Class_ = 0;
  Instant SentAt_;
  Instant Deadline_;
  MemberId Target_ = NoMember;
  std::uint32_t Sheds_ = 0;
  std::uint32_t Retries_ = 0;
};

using RequestPtr = std::shared_ptr<Request>;

/// How an attempt ended at the owner's side.
enum class AttemptEnd { Good, Error, Refused };

class SharedRun {
public:
  explicit SharedRun(const SharedRunOptions &Options)
      : Options_(Options), Random_(Options.Seed_), Start_(Time_.now()) {
    for (std::size_t Index = 0; Index < Options.Upstreams_.size(); ++Index)
      addHost(Index);
  }

  SharedRunResult run() {
    scheduleArrival();
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
    One.Seed_ = Random_();
    resetAdmission(One.Admission_, Kind.Slots_, Kind.Slots_, {});
    One.Admission_.Limit_ = Kind.Slots_;
    for (std::size_t Other = 0; Other < Options_.Upstreams_.size(); ++Other) {
      One.Candidates_.Members_.push_back(Other + 1);
      One.Candidates_.SameZone_.push_back(Other % Options_.Zones_ == One.Zone_);
    }
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

  void scheduleFaults() {
    if (Options_.Stragglers_)
      Time_.after(std::chrono::seconds(1), [this] { straggle(); });
    if (Options_.ColdAt_.count() > 0)
      Time_.after(Options_.ColdAt_,
                  [this] { Hosts_[0].Upstream_->turnCold(); });
    if (Options_.ErrorPercent_ == 0)
      return;
    Time_.after(Options_.ErrorsFrom_,
                [this] { setErrors(Options_.ErrorPercent_); });
    Time_.after(Options_.ErrorsUntil_, [this] { setErrors(0); });
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

  MemberId chooseTarget(Host &Entry, MemberId Except) {
    const std::size_t Count = Hosts_.size();
    switch (Options_.Policy_) {
    case ChoicePolicy::Ours:
      return chooseUpstream(Entry.Candidates_, Entry.Loads_, Except,
                            Entry.Seed_, {}, Time_.now())
          .value_or(1);
    case ChoicePolicy::Random:
      return Random_() % Count + 1;
    case ChoicePolicy::RoundRobin:
      return Entry.NextInTurn_++ % Count + 1;
    case ChoicePolicy::LeastInFlight: {
      MemberId Best = 1;
      for (MemberId Id = 2; Id <= Count; ++Id)
        if (Entry.Loads_[Id].InFlight_ < Entry.Loads_[Best].InFlight_)
          Best = Id;
      return Best;
    }
    case ChoicePolicy::TwoChoices: {
      const MemberId A = Random_() % Count + 1;
      const MemberId B = Random_() % Count + 1;
      return Entry.Loads_[A].InFlight_ <= Entry.Loads_[B].InFlight_ ? A : B;
    }
    }
    return 1;
  }

  Duration travel(const Request &One) const {
    const bool Near = Hosts_[One.Entry_].Zone_ == Hosts_[One.Target_ - 1].Zone_;
    return Near ? Duration(std::chrono::microseconds(50))
                : Duration(Options_.ZoneDelay_);
  }

  void attempt(const RequestPtr &One) {
    Host &Entry = Hosts_[One->Entry_];
    One->Target_ = chooseTarget(Entry, One->Target_);
    ++Result_.Attempts_;
    noteSent(Entry.Loads_, One->Target_);
    const Instant SentAt = Time_.now();
    Time_.after(travel(*One),
                [this, One, SentAt] { admitAtOwner(One, SentAt); });
  }

  void admitAtOwner(const RequestPtr &One, Instant SentAt) {
    Host &Owner = Hosts_[One->Target_ - 1];
    if (!Options_.Admission_) {
      runAtUpstream(One, SentAt);
      return;
    }
    const Ticket Id = ++NextTicket_;
    switch (admit(Owner.Admission_, Id, static_cast<Priority>(One->Class_),
                  One->Deadline_, {}, Time_.now())) {
    case AdmitResult::Admitted:
      runAtUpstream(One, SentAt);
      return;
    case AdmitResult::Queued:
      Owner.Queued_[Id] = [this, One, SentAt](bool Started) {
        if (Started)
          runAtUpstream(One, SentAt);
        else
          travelBack(One, SentAt, AttemptEnd::Refused);
      };
      return;
    case AdmitResult::Shed:
      travelBack(One, SentAt, AttemptEnd::Refused);
      return;
    }
  }

  void runAtUpstream(const RequestPtr &One, Instant SentAt) {
    const std::size_t Index = One->Target_ - 1;
    const Instant StartedAt = Time_.now();
    Hosts_[Index].Upstream_->run(
        [this, One, SentAt, StartedAt, Index](FakeUpstream::End End) {
          if (Options_.Admission_)
            release(Index, End, Time_.now() - StartedAt);
          travelBack(One, SentAt,
                     End == FakeUpstream::End::Good    ? AttemptEnd::Good
                     : End == FakeUpstream::End::Error ? AttemptEnd::Error
                                                       : AttemptEnd::Refused);
        });
  }

  void release(std::size_t Index, FakeUpstream::End End, Duration Latency) {
    Host &Owner = Hosts_[Index];
    complete(Owner.Admission_,
             End == FakeUpstream::End::Shed ? UpstreamAnswer::Shed
                                            : UpstreamAnswer::Good,
             Latency, {}, Time_.now());
    const QueueChange Change = advanceQueue(Owner.Admission_, Time_.now());
    for (Ticket Id : Change.Dropped_)
      wakeQueued(Owner, Id, false);
    for (Ticket Id : Change.Started_)
      wakeQueued(Owner, Id, true);
  }

  static void wakeQueued(Host &Owner, Ticket Id, bool Started) {
    const std::function<void(bool)> Wake = std::move(Owner.Queued_.at(Id));
    Owner.Queued_.erase(Id);
    Wake(Started);
  }

  void travelBack(const RequestPtr &One, Instant SentAt, AttemptEnd End) {
    Time_.after(travel(*One),
                [this, One, SentAt, End] { endAttempt(One, SentAt, End); });
  }

  void endAttempt(const RequestPtr &One, Instant SentAt, AttemptEnd End) {
    Host &Entry = Hosts_[One->Entry_];
    noteAnswered(Entry.Loads_, One->Target_, Time_.now() - SentAt,
                 answerKind(End), {}, Time_.now());
    if (End == AttemptEnd::Good) {
      answer(*One);
      return;
    }
    constexpr std::uint32_t MaxSheds = 2;
    if (End == AttemptEnd::Refused && One->Sheds_ < MaxSheds) {
      ++One->Sheds_;
      attempt(One);
      return;
    }
    if (End == AttemptEnd::Error && mayRetry(Entry, *One)) {
      ++One->Retries_;
      attempt(One);
      return;
    }
    countFailure(End);
  }

  static AnswerKind answerKind(AttemptEnd End) {
    return End == AttemptEnd::Refused ? AnswerKind::Refused
                                      : AnswerKind::Answered;
  }

  bool mayRetry(Host &Entry, const Request &One) const {
    constexpr std::uint32_t MostRetries = 3;
    return Options_.Budget_ ? spendRetry(Entry.Budget_)
                            : One.Retries_ < MostRetries;
  }

  void countFailure(AttemptEnd End) {
    if (End == AttemptEnd::Refused)
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
  Ticket NextTicket_ = 0;
  std::uint64_t InTime_ = 0;
  SharedRunResult Result_;
};

} // namespace

const char *policyName(ChoicePolicy Policy) {
  static constexpr const char *Names[] = {"ours", "random", "round robin",
                                          "least in flight", "two choices"};
  return Names[static_cast<std::size_t>(Policy)];
}

SharedRunResult runShared(const SharedRunOptions &Options) {
  return SharedRun(Options).run();
}

} // namespace lagoonhitch

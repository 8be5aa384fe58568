#include "tests/schedule/request_simulation.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr std::size_t DoorCount = 3;
constexpr std::chrono::milliseconds CallDeadline{3000};
constexpr std::chrono::milliseconds CallObjective{600};
constexpr std::chrono::milliseconds FatePause{60};

} // namespace

RequestWorld::RequestWorld(std::uint64_t Seed, const RequestFaults &Faults)
    : Random_(Seed), Faults_(Faults), Now_(std::chrono::seconds(1000)),
      Doors_(DoorCount) {
  for (Door &One : Doors_)
    One.Process_ = NextProcess_++;
}

bool RequestWorld::chance(int Percent) {
  return static_cast<int>(Random_() % 100) < Percent;
}

Duration RequestWorld::delay(int Low, int High) {
  return std::chrono::milliseconds(
      Low +
      static_cast<int>(Random_() % static_cast<unsigned>(High - Low + 1)));
}

void RequestWorld::after(Duration Delay, std::function<void()> Do) {
  Agenda_.emplace(Now_ + Delay, std::move(Do));
}

RequestId RequestWorld::idOf(std::size_t Number, std::uint32_t Attempt) const {
  return {1, Number, Attempt};
}

void RequestWorld::run(int Calls) {
  Calls_.resize(static_cast<std::size_t>(Calls));
  for (std::size_t Number = 0; Number < Calls_.size(); ++Number)
    after(delay(0, 4000), [this, Number] {
      Call &One = Calls_[Number];
      One.Plan_.Idempotent_ = chance(Faults_.Idempotent_);
      One.Plan_.ArrivedAt_ = Now_;
      One.Plan_.Deadline_ = Now_ + CallDeadline;
      One.Plan_.Objective_ = CallObjective;
      One.Plan_.MaxRuns_ = One.Plan_.Idempotent_ ? 2 : 1;
      after(CallDeadline, [this, Number] {
        if (!Calls_[Number].Done_)
          carryOut(Number, onDeadline(Calls_[Number].Plan_, false));
      });
      offer(Number);
    });
  while (!Agenda_.empty()) {
    const auto First = Agenda_.begin();
    Now_ = First->first;
    const std::function<void()> Do = std::move(First->second);
    Agenda_.erase(First);
    Do();
  }
}

void RequestWorld::offer(std::size_t Number) {
  Call &One = Calls_[Number];
  ++One.Plan_.SentAttempts_;
  const std::uint32_t Attempt = ++One.Attempt_;
  One.Door_ = Random_() % DoorCount;
  One.Process_ = Doors_[One.Door_].Process_;
  const std::size_t Door = One.Door_;
  const bool Lost = chance(Faults_.LostConnections_);
  const bool Late = Lost && chance(Faults_.LateArrivals_);
  const std::uint64_t Process = One.Process_;
  after(Late ? delay(200, 2500) : delay(1, 20),
        [=, this] { arrive(Number, Attempt, Door, Process, Lost); });
  if (Lost)
    after(delay(5, 600), [this, Number, Attempt] { lose(Number, Attempt); });
}

/// The entry notices that the connection of an attempt has ended.
void RequestWorld::lose(std::size_t Number, std::uint32_t Attempt) {
  if (Calls_[Number].Done_ || Calls_[Number].Attempt_ != Attempt)
    return;
  if (Calls_[Number].Plan_.Idempotent_)
    answer(Number, Attempt, AttemptResult());
  else
    askFate(Number, Attempt);
}

void RequestWorld::keepFate(std::size_t Number, std::uint32_t Attempt,
                            std::size_t Door, Outcome Known) {
  Answer Kept;
  Kept.Outcome_ = Known;
  Kept.Status_ = 200;
  finishAttempt(Doors_[Door].Fates_, idOf(Number, Attempt),
                Calls_[Number].Plan_.Deadline_,
                std::make_shared<const Answer>(Kept), Options_, Now_);
}

void RequestWorld::arrive(std::size_t Number, std::uint32_t Attempt,
                          std::size_t Door, std::uint64_t Process, bool Lost) {
  const RequestPlan &Plan = Calls_[Number].Plan_;
  // A connection ends with the process that accepted it, and what is still on
  // its way there is lost.
  if (Doors_[Door].Process_ != Process) {
    if (!Lost)
      lose(Number, Attempt);
    return;
  }
  AttemptResult Refused;
  Refused.Outcome_ = Outcome::NotRun;
  const bool Known = !Plan.Idempotent_ &&
                     !beginAttempt(Doors_[Door].Fates_, idOf(Number, Attempt),
                                   Plan.Deadline_, Now_);
  if (Known || Now_ >= Plan.Deadline_) {
    Refused.RejectReason_ = RejectReason::AlreadyResolved;
    if (!Lost)
      after(delay(1, 10), [=, this] { answer(Number, Attempt, Refused); });
    return;
  }
  if (chance(Faults_.Refusals_)) {
    Refused.RejectReason_ = RejectReason::Unavailable;
    if (!Plan.Idempotent_)
      keepFate(Number, Attempt, Door, Outcome::NotRun);
    if (!Lost)
      after(delay(1, 10), [=, this] { answer(Number, Attempt, Refused); });
    return;
  }
  execute(Number, Attempt, Door, Lost);
}

void RequestWorld::execute(std::size_t Number, std::uint32_t Attempt,
                           std::size_t Door, bool Lost) {
  ++Calls_[Number].Runs_;
  const std::uint64_t Process = Doors_[Door].Process_;
  const Duration Work = delay(5, 500);
  if (chance(Faults_.Restarts_))
    after(Work / 2, [this, Door] {
      Doors_[Door].Process_ = NextProcess_++;
      Doors_[Door].Fates_ = AttemptTable();
    });
  after(Work, [=, this] {
    // The answer goes with the process that waited for it.
    if (Doors_[Door].Process_ != Process) {
      if (!Lost)
        lose(Number, Attempt);
      return;
    }
    if (!Calls_[Number].Plan_.Idempotent_)
      keepFate(Number, Attempt, Door, Outcome::Ran);
    if (Lost)
      return;
    AttemptResult Ran;
    Ran.Outcome_ = Outcome::Ran;
    Ran.Status_ = 200;
    after(delay(1, 10), [=, this] { answer(Number, Attempt, Ran); });
  });
}

void RequestWorld::askFate(std::size_t Number, std::uint32_t Attempt) {
  const Call &One = Calls_[Number];
  if (One.Done_ || One.Attempt_ != Attempt)
    return;
  const std::size_t Door = One.Door_;
  const std::uint64_t Process = One.Process_;
  const Instant StartBy = One.Plan_.Deadline_;
  after(delay(1, 20), [=, this] {
    AttemptInfo Report;
    if (Doors_[Door].Process_ == Process)
      Report = lookUpAttempt(Doors_[Door].Fates_, idOf(Number, Attempt),
                             StartBy, Options_, Now_);
    after(delay(1, 20), [=, this] { takeFate(Number, Attempt, Report); });
  });
}

void RequestWorld::takeFate(std::size_t Number, std::uint32_t Attempt,
                            const AttemptInfo &Report) {
  AttemptResult End;
  switch (Report.Status_) {
  case AttemptStatus::Running:
    after(FatePause, [=, this] { askFate(Number, Attempt); });
    return;
  case AttemptStatus::Finished:
    End.Outcome_ = Report.Answer_->Outcome_;
    End.Status_ = Report.Answer_->Status_;
    break;
  case AttemptStatus::Rejected:
    End.Outcome_ = Outcome::NotRun;
    End.RejectReason_ = RejectReason::AlreadyResolved;
    break;
  case AttemptStatus::Evicted:
    break;
  }
  answer(Number, Attempt, End);
}

void RequestWorld::answer(std::size_t Number, std::uint32_t Attempt,
                          const AttemptResult &End) {
  Call &One = Calls_[Number];
  if (One.Done_ || One.Attempt_ != Attempt)
    return;
  const PlanStep Step = onAttemptEnd(
      One.Plan_, End, [] { return true; }, Now_);
  if (Step.Kind_ == PlanStep::Kind::Reply)
    finishCall(One, Outcome::Ran);
  else
    carryOut(Number, Step);
}

void RequestWorld::carryOut(std::size_t Number, const PlanStep &Step) {
  switch (Step.Kind_) {
  case PlanStep::Kind::Send:
    offer(Number);
    return;
  case PlanStep::Kind::WaitForOwner:
    after(Step.RetryAfter_, [this, Number] { offer(Number); });
    return;
  case PlanStep::Kind::Reject:
    finishCall(Calls_[Number], Outcome::NotRun);
    return;
  case PlanStep::Kind::Fail:
    finishCall(Calls_[Number], Outcome::Unknown);
    return;
  case PlanStep::Kind::Reply:
    return;
  }
}

void RequestWorld::finishCall(Call &One, Outcome Known) {
  One.Done_ = true;
  One.Outcome_ = Known;
}

std::vector<std::string> RequestWorld::broken() const {
  std::vector<std::string> Words;
  for (const Call &One : Calls_) {
    if (!One.Done_)
      Words.emplace_back("a call has no answer");
    if (!One.Plan_.Idempotent_ && One.Runs_ > 1)
      Words.emplace_back("a call ran twice");
    if (One.Runs_ > One.Plan_.MaxRuns_)
      Words.emplace_back("a call ran more often than allowed");
    if (One.Outcome_ == Outcome::NotRun && One.Runs_ > 0)
      Words.emplace_back("a call was refused and has run");
    if (One.Outcome_ == Outcome::Ran && One.Runs_ == 0)
      Words.emplace_back("a call was answered and has not run");
  }
  return Words;
}

std::size_t RequestWorld::ended(Outcome Known) const {
  return static_cast<std::size_t>(
      std::count_if(Calls_.begin(), Calls_.end(), [Known](const Call &One) {
        return One.Done_ && One.Outcome_ == Known;
      }));
}

} // namespace lagoonhitch

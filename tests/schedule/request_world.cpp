#include "tests/schedule/request_world.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds CallDeadline{4000};
constexpr std::chrono::milliseconds StartWithin{2000};

AnswerPtr ranAnswer(const std::string &Body) {
  Answer Result;
  Result.Outcome_ = Outcome::Ran;
  Result.Status_ = 200;
  Result.Body_ = Body;
  return std::make_shared<const Answer>(std::move(Result));
}

AnswerPtr refusal(RefusalReason Reason) {
  Answer Result = *makeRefusal(Outcome::NotRun, 503, "refused", "", "");
  Result.Headers_.emplace_back(RefusalHeader, refusalName(Reason));
  return std::make_shared<const Answer>(std::move(Result));
}

} // namespace

RequestWorld::RequestWorld(std::uint64_t Seed, const RequestFaults &Faults)
    : Random_(Seed), Faults_(Faults), Now_(std::chrono::seconds(1000)) {
  for (MemberId Id : {1, 2, 3}) {
    Owners_[Id].ClockOffset_ = delay(0, 100000);
    Owners_[Id].Process_ = NextProcess_++;
  }
}

bool RequestWorld::chance(int Percent) {
  return static_cast<int>(Random_() % 100) < Percent;
}

Duration RequestWorld::delay(int Low, int High) {
  return std::chrono::milliseconds(
      Low +
      static_cast<int>(Random_() % static_cast<unsigned>(High - Low + 1)));
}

void RequestWorld::at(Duration Delay, std::function<void()> Work) {
  Agenda_.emplace(Now_ + Delay, std::move(Work));
}

Instant RequestWorld::ownerClock(const Owner &One) const {
  return Now_ + One.ClockOffset_;
}

/// The entry may be behind: it may not know of the last move.
Targets RequestWorld::targets() {
  const MemberId Other = Current_ % 3 + 1;
  return chance(80) ? Targets{Current_, Other} : Targets{Other, Current_};
}

void RequestWorld::run(int Calls, int SpanMillis) {
  for (int Number = 0; Number < Calls; ++Number)
    at(delay(0, SpanMillis), [this, Number] { begin(Number); });
  for (int Count = 0; Count < Faults_.Restarts_; ++Count)
    at(delay(0, SpanMillis), [this] { restart(1 + Random_() % 3); });
  for (int Count = 0; Count < Faults_.Moves_; ++Count)
    at(delay(0, SpanMillis), [this] { Current_ = 1 + Random_() % 3; });
  while (!Agenda_.empty()) {
    const auto Next = Agenda_.begin();
    Now_ = Next->first;
    const std::function<void()> Work = std::move(Next->second);
    Agenda_.erase(Next);
    Work();
  }
}

std::size_t RequestWorld::openCalls() const {
  return static_cast<std::size_t>(
      std::count_if(Calls_.begin(), Calls_.end(),
                    [](const CallPtr &One) { return !One->Answered_; }));
}

void RequestWorld::begin(int Number) {
  const CallPtr One = std::make_shared<Call>();
  One->Name_ = "call " + std::to_string(Number);
  One->Once_ = Number % 2 == 0;
  One->State_.Id_ = {1, static_cast<std::uint64_t>(Number), 0};
  One->State_.Divided_ = true;
  One->State_.Repeatable_ = !One->Once_;
  One->State_.Deadline_ = Now_ + CallDeadline;
  Calls_.push_back(One);
  earnRetry(Budget_, 10);
  at(CallDeadline, [this, One] { perform(One, onDeadline(One->State_)); });
  perform(One, choose(One->State_, targets(), Options_, Now_));
}

void RequestWorld::perform(const CallPtr &One, const EntryAction &Action) {
  switch (Action.Kind_) {
  case EntryAction::Kind::None:
    return;
  case EntryAction::Kind::Forward:
    forward(One);
    return;
  case EntryAction::Kind::LookUp:
    lookUp(One);
    return;
  case EntryAction::Kind::Wait:
    at(Action.Delay_, [this, One] {
      perform(One, wake(One->State_, targets(), Options_, Now_));
    });
    return;
  case EntryAction::Kind::Reply:
    One->Answered_ = true;
    History_.Answers_.push_back({One->Name_, Action.Answer_->Outcome_,
                                 Action.Answer_->Body_,
                                 "answer to " + One->Name_});
    return;
  }
}

void RequestWorld::forward(const CallPtr &One) {
  const MemberId To = One->State_.Target_;
  const RequestId Id = One->State_.Id_;
  const Owner &Asked = Owners_[To];
  One->AskedProcess_ = Asked.Process_;
  // The entry's estimate of the owner's clock lags behind.
  One->StartBy_ = ownerClock(Asked) - delay(0, 20) +
                  std::min<Duration>(StartWithin, One->State_.Deadline_ - Now_);
  at(Options_.SettleAfter_, [this, One, Id] {
    if (Id == One->State_.Id_)
      perform(One, onSilence(One->State_, Now_));
  });
  ForwardEnd Lost;
  Lost.Kind_ = ForwardEnd::Kind::Lost;
  if (chance(Faults_.BrokenLinks_))
    at(delay(1, 500), [this, One, Id, Lost] { endForward(One, Id, Lost); });
  if (chance(Faults_.LostForwards_))
    return;
  const Duration Travel =
      chance(Faults_.LateForwards_) ? delay(100, 9000) : delay(1, 3);
  at(Travel,
     [this, To, Process = One->AskedProcess_, One, Id,
      StartBy = One->StartBy_] { arrive(To, Process, One, Id, StartBy); });
}

/// What an owner does with an attempt, by the same functions as the daemon.
void RequestWorld::arrive(MemberId To, std::uint64_t Process,
                          const CallPtr &One, const RequestId &Id,
                          Instant StartBy) {
  Owner &Asked = Owners_[To];
  const Instant Local = ownerClock(Asked);
  if (Asked.Process_ != Process) {
    answer(To, Asked.Process_, One, Id, StartBy,
           refusal(RefusalReason::NotOwner));
    return;
  }
  if (!beginAttempt(Asked.Fates_, Id, StartBy, Local)) {
    answer(To, Process, One, Id, StartBy, refusal(RefusalReason::TooLate));
    return;
  }
  if (To != Current_) {
    const AnswerPtr Refused = refusal(RefusalReason::NotOwner);
    finishAttempt(Asked.Fates_, Id, StartBy, Refused, {}, Local);
    answer(To, Process, One, Id, StartBy, Refused);
    return;
  }
  History_.Runs_.push_back({One->Name_, One->Once_});
  at(chance(10) ? delay(100, 1500) : delay(1, 10),
     [this, To, Process, One, Id, StartBy] {
       Owner &Ran = Owners_[To];
       if (Ran.Process_ != Process)
         return;
       const AnswerPtr Result = ranAnswer("answer to " + One->Name_);
       finishAttempt(Ran.Fates_, Id, StartBy, Result, {}, ownerClock(Ran));
       answer(To, Process, One, Id, StartBy, Result);
     });
}

void RequestWorld::answer(MemberId, std::uint64_t, const CallPtr &One,
                          const RequestId &Id, Instant, AnswerPtr Result) {
  if (chance(Faults_.LostAnswers_))
    return;
  ForwardEnd End;
  End.Kind_ = ForwardEnd::Kind::Answered;
  End.Reason_ = refusalOf(*Result);
  End.Answer_ = std::move(Result);
  at(chance(Faults_.LateAnswers_) ? delay(100, 3000) : delay(1, 3),
     [this, One, Id, End] { endForward(One, Id, End); });
}

void RequestWorld::endForward(const CallPtr &One, const RequestId &Id,
                              const ForwardEnd &End) {
  // Answers to earlier attempts arrive on connections that are closed.
  if (Id != One->State_.Id_)
    return;
  perform(One, onForwardEnd(One->State_, End, Budget_, Options_, Now_));
}

void RequestWorld::lookUp(const CallPtr &One) {
  const RequestId Id = One->State_.Id_;
  const MemberId To = One->State_.Target_;
  const bool Fails = chance(Faults_.FailedLookUps_);
  at(Fails ? Options_.SettleAfter_ : delay(1, 5), [this, One, Id, To, Fails] {
    if (Id != One->State_.Id_)
      return;
    Owner &Asked = Owners_[To];
    if (Fails || Asked.Process_ != One->AskedProcess_) {
      perform(One,
              onLookUpFailed(One->State_, !Fails, Budget_, Options_, Now_));
      return;
    }
    const FateReport Report =
        lookUpFate(Asked.Fates_, Id, One->StartBy_, {}, ownerClock(Asked));
    at(delay(1, 5), [this, One, Id, Report] {
      if (Id == One->State_.Id_)
        perform(One, onFate(One->State_, Report, Budget_, Options_, Now_));
    });
  });
}

void RequestWorld::restart(MemberId Id) {
  Owners_[Id].Fates_ = FateTable();
  Owners_[Id].Process_ = NextProcess_++;
}

} // namespace lagoonhitch

#include "control/takeover_duty.h"

#include "control/lease_duty.h"
#include "control/outbox.h"
#include "control/release_duty.h"

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds AskEvery{100};

void beginTakeover(ControlState &State, MemberId Victim, Instant Now,
                   ControlActions &Actions) {
  const bool Unfit = State.LeaseUntil_ <= Now || State.Resigning_ ||
                     State.Leaving_ || Victim == State.Self_;
  if (Unfit || findMember(tableOf(State), Victim) == nullptr)
    return;
  if (State.WaivedFor_.count(Victim) > 0 || State.Takeovers_.count(Victim) > 0)
    return;
  Takeover Attempt;
  Attempt.Victim_ = Victim;
  Attempt.Attempt_ = ++State.NextAttempt_;
  Attempt.StartedAt_ = Now;
  Attempt.NextAsk_ = Now;
  State.Takeovers_.emplace(Victim, std::move(Attempt));
  Actions.Events_.emplace_back(EventId::TakeoverStarted,
                               std::to_string(Victim));
}

void askSeats(const ControlState &State, const Takeover &Attempt,
              const SeatSet &Seats, ControlActions &Actions) {
  for (MemberId Witness : Seats.Witnesses_)
    sendMessage(State, Witness,
                LeaseMessage::PromiseAsk{Attempt.Victim_, Seats.Epoch_,
                                         Attempt.Attempt_},
                Actions);
}

void withdrawFrom(const ControlState &State, const Takeover &Attempt,
                  const SeatSet &Seats, ControlActions &Actions) {
  for (MemberId Witness : Seats.Witnesses_)
    sendMessage(
        State, Witness,
        LeaseMessage::PromiseWithdraw{Attempt.Victim_, Attempt.Attempt_},
        Actions);
}

/// \returns false if the attempt is given up.
bool ask(ControlState &State, Takeover &Attempt, const Member &Victim,
         Instant Now, ControlActions &Actions) {
  if (hasMajority(Attempt, Victim)) {
    Attempt.Phase_ = TakeoverPhase::Waiting;
    return true;
  }
  if (Now - Attempt.StartedAt_ > State.Options_.Lease_.AskFor_ ||
      isRefused(Attempt, Victim)) {
    withdrawFrom(State, Attempt, Victim.Seats_, Actions);
    if (Victim.OldSeats_)
      withdrawFrom(State, Attempt, *Victim.OldSeats_, Actions);
    return false;
  }
  if (Now < Attempt.NextAsk_)
    return true;
  Attempt.NextAsk_ = Now + AskEvery;
  askSeats(State, Attempt, Victim.Seats_, Actions);
  if (Victim.OldSeats_)
    askSeats(State, Attempt, *Victim.OldSeats_, Actions);
  return true;
}

void commitIfStopped(ControlState &State, Takeover &Attempt, Instant Now,
                     ControlActions &Actions) {
  if (Now < victimStoppedAt(Attempt, State.Options_.Lease_))
    return;
  Attempt.Phase_ = TakeoverPhase::Committed;
  appendRecord(State,
               Record::TakeOver{Attempt.Victim_, State.Self_,
                                tokenStep(Attempt),
                                std::vector<ShardRef>(Attempt.Withheld_.begin(),
                                                      Attempt.Withheld_.end())},
               "the member lost its lease", Now, Actions);
  Actions.ViewChanged_ = true;
  Actions.Events_.emplace_back(EventId::TakeoverServing,
                               std::to_string(Attempt.Victim_));
}

/// \returns false if the attempt is over.
bool drive(ControlState &State, Takeover &Attempt, Instant Now,
           ControlActions &Actions) {
  const Member *Victim = findMember(tableOf(State), Attempt.Victim_);
  if (Victim == nullptr)
    return false;
  if (Attempt.Phase_ == TakeoverPhase::Asking &&
      !ask(State, Attempt, *Victim, Now, Actions))
    return false;
  if (Attempt.Phase_ == TakeoverPhase::Waiting)
    commitIfStopped(State, Attempt, Now, Actions);
  return true;
}

} // namespace

bool isHeirOf(const ControlState &State, const Member &Victim) {
  if (Victim.Seats_.Heir_ == State.Self_)
    return true;
  return Victim.OldSeats_ && Victim.OldSeats_->Heir_ == State.Self_;
}

void driveTakeovers(ControlState &State, Instant Now, ControlActions &Actions) {
  std::vector<MemberId> Ended;
  for (auto &[Id, Attempt] : State.Takeovers_)
    if (!drive(State, Attempt, Now, Actions))
      Ended.push_back(Id);
  for (MemberId Id : Ended)
    State.Takeovers_.erase(Id);
}

void updateTakeovers(ControlState &State, ControlActions &Actions) {
  const std::size_t Erased =
      std::erase_if(State.Takeovers_, [&State](const auto &Entry) {
        return isRemoved(tableOf(State), Entry.first);
      });
  if (Erased > 0)
    Actions.ViewChanged_ = true;
  std::erase_if(State.WaivedFor_, [&State](MemberId Id) {
    return isRemoved(tableOf(State), Id);
  });
}

void handleTakeoverMessage(ControlState &State, const LeaseMessage &Message,
                           Instant Now, ControlActions &Actions) {
  if (const auto *Hint = std::get_if<LeaseMessage::Suspect>(&Message.Body_)) {
    beginTakeover(State, Hint->Victim_, Now, Actions);
    driveTakeovers(State, Now, Actions);
    return;
  }
  if (const auto *Ask = std::get_if<LeaseMessage::PromiseAsk>(&Message.Body_)) {
    sendMessageAs(Message.To_, Message.From_,
                  onPromiseAsk(State.Witness_, tableOf(State), Message.From_,
                               *Ask, State.Options_.Lease_, Now),
                  Actions);
    return;
  }
  if (const auto *Reply =
          std::get_if<LeaseMessage::PromiseReply>(&Message.Body_)) {
    const auto Found = State.Takeovers_.find(Reply->Victim_);
    if (Found == State.Takeovers_.end() ||
        Found->second.Phase_ != TakeoverPhase::Asking)
      return;
    onPromiseReply(Found->second, Message.From_, *Reply, State.Options_.Lease_,
                   Now);
    driveTakeovers(State, Now, Actions);
    return;
  }
  if (const auto *Query =
          std::get_if<LeaseMessage::PromiseQuery>(&Message.Body_)) {
    // Without an attempt in memory the promise was never used.
    if (State.Takeovers_.count(Query->Victim_) == 0 &&
        Query->Attempt_ <= State.NextAttempt_)
      sendMessage(
          State, Message.From_,
          LeaseMessage::PromiseWithdraw{Query->Victim_, Query->Attempt_},
          Actions);
    return;
  }
  if (const auto *Taken =
          std::get_if<LeaseMessage::PromiseWithdraw>(&Message.Body_)) {
    onPromiseWithdraw(State.Witness_, Message.From_, *Taken);
    return;
  }
  if (std::holds_alternative<LeaseMessage::WaiveAsk>(Message.Body_)) {
    if (State.Takeovers_.count(Message.From_) > 0)
      return;
    State.WaivedFor_.insert(Message.From_);
    sendMessage(State, Message.From_, LeaseMessage::WaiveAck{}, Actions);
    return;
  }
  if (std::holds_alternative<LeaseMessage::Granted>(Message.Body_)) {
    onGranted(State, Message, Actions);
    return;
  }
  if (std::holds_alternative<LeaseMessage::WaiveAck>(Message.Body_))
    State.WaivedBy_.insert(Message.From_);
}

} // namespace lagoonhitch

#include "control/control.h"

#include "control/lease_duty.h"
#include "control/member_duty.h"
#include "control/outbox.h"
#include "control/plan_duty.h"
#include "control/release_duty.h"
#include "control/takeover_duty.h"

namespace lagoonhitch {

namespace {

/// A pause of this process must not be taken for the silence of others.
void noticeOwnPause(ControlState &State, Instant Now, ControlActions &Actions) {
  constexpr int LateTicks = 4;
  const Duration Expected = State.Options_.TickEvery_;
  const Instant Last = State.LastTick_;
  State.LastTick_ = Now;
  if (Last == Instant::min() || Now - Last <= Expected * LateTicks)
    return;
  shiftTimers(State.Witness_, Now - Last - Expected);
  Actions.Events_.emplace_back(EventId::LateTick,
                               std::to_string(toMillis(Now - Last).count()));
}

bool isForWitness(const LeaseMessage &Message) {
  return std::holds_alternative<LeaseMessage::Renew>(Message.Body_) ||
         std::holds_alternative<LeaseMessage::PromiseAsk>(Message.Body_) ||
         std::holds_alternative<LeaseMessage::PromiseWithdraw>(Message.Body_) ||
         std::holds_alternative<LeaseMessage::Retire>(Message.Body_);
}

/// Keeps the addresses of members, and of removed ones while they hold seats.
void updateAddresses(ControlState &State) {
  std::set<MemberId> Needed;
  for (const auto &[Id, One] : tableOf(State).Members_) {
    State.Addresses_[Id] = One.ControlAddress_;
    Needed.insert(Id);
    Needed.insert(One.Seats_.Witnesses_.begin(), One.Seats_.Witnesses_.end());
    if (One.OldSeats_)
      Needed.insert(One.OldSeats_->Witnesses_.begin(),
                    One.OldSeats_->Witnesses_.end());
  }
  std::erase_if(State.Addresses_, [&Needed](const auto &Entry) {
    return Needed.count(Entry.first) == 0;
  });
  std::erase_if(State.Former_,
                [&Needed](MemberId Id) { return Needed.count(Id) == 0; });
}

void onTableChanged(ControlState &State, Instant Now, ControlActions &Actions) {
  updateMembership(State, Now, Actions);
  updateAddresses(State);
  syncSeats(State.Witness_, tableOf(State), seatIds(State), Now);
  updateReleases(State, Actions);
  updateTakeovers(State, Actions);
  updateLease(State, Now, Actions);
  pruneOutbox(State);
  Actions.ViewChanged_ = true;
}

/// Messages from a member to itself do not leave the process.
void deliverToSelf(ControlState &State, Instant Now, ControlActions &Actions) {
  std::vector<LeaseMessage> Sent = std::move(Actions.Messages_);
  Actions.Messages_.clear();
  for (LeaseMessage &Message : Sent) {
    if (seatIds(State).count(Message.To_) > 0)
      onMessage(State, Message, Now, Actions);
    else
      Actions.Messages_.push_back(std::move(Message));
  }
}

} // namespace

void tick(ControlState &State, Instant Now, ControlActions &Actions) {
  noticeOwnPause(State, Now, Actions);
  joinIfNeeded(State, Now, Actions);
  renewLease(State, Now, Actions);
  reportSilentHolders(State, Now, Actions);
  driveTakeovers(State, Now, Actions);
  driveReleases(State, Now, Actions);
  driveLeaving(State, Now, Actions);
  planIfDue(State, Now, Actions);
  retryAppends(State, Now, Actions);
  deliverToSelf(State, Now, Actions);
}

void onMessage(ControlState &State, const LeaseMessage &Message, Instant Now,
               ControlActions &Actions) {
  if (Message.To_ == NoMember)
    return;
  const bool ToFormerSeat =
      State.Former_.count(Message.To_) > 0 && isForWitness(Message);
  if (Message.To_ != State.Self_ && !ToFormerSeat)
    return;
  if (!handleLeaseMessage(State, Message, Now, Actions))
    handleTakeoverMessage(State, Message, Now, Actions);
  deliverToSelf(State, Now, Actions);
}

void onLogBatch(ControlState &State, const LogBatch &Batch, Instant Now,
                ControlActions &Actions) {
  const bool WasSynced = State.Reader_.Synced_;
  noteFirstOffset(State.Reader_, Batch.First_);
  if (WasSynced && !State.Reader_.Synced_)
    Actions.Events_.emplace_back(EventId::LogGap, "");
  bool Changed = WasSynced != State.Reader_.Synced_;
  for (const auto &[At, Entry] : Batch.Records_) {
    noteRead(State, Entry);
    if (std::holds_alternative<Record::Checkpoint>(Entry.Body_)) {
      State.LastCheckpoint_ = At;
      State.LastCheckpointAt_ = Now;
    }
    std::vector<std::pair<Offset, Record>> Effective =
        feed(State.Reader_, At, Entry);
    if (Effective.empty())
      continue;
    Changed = true;
    // Each state of the table counts: a shard may come and go in one batch.
    onTableChanged(State, Now, Actions);
    for (std::pair<Offset, Record> &One : Effective)
      Actions.Effective_.push_back(std::move(One));
  }
  if (Batch.AtEnd_)
    State.CaughtUpAt_ = Now;
  if (Changed)
    onTableChanged(State, Now, Actions);
  deliverToSelf(State, Now, Actions);
}

void onSlots(ControlState &State,
             const std::map<std::string, std::uint32_t> &Slots, Instant Now,
             ControlActions &Actions) {
  if (State.Slots_ == Slots)
    return;
  State.Slots_ = Slots;
  appendUpdate(State, Now, Actions);
}

void onDrained(ControlState &State, const ShardRef &Ref, Instant Now,
               ControlActions &Actions) {
  noteDrained(State, Ref);
  renewLease(State, Now, Actions);
  deliverToSelf(State, Now, Actions);
}

void beginLeave(ControlState &State, Instant Now, ControlActions &Actions) {
  if (State.Leaving_)
    return;
  State.Leaving_ = true;
  appendUpdate(State, Now, Actions);
}

bool hasLeft(const ControlState &State) {
  return State.Leaving_ && State.Self_ == NoMember;
}

} // namespace lagoonhitch

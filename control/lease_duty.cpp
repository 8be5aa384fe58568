#include "control/lease_duty.h"

#include "control/outbox.h"
#include "control/release_duty.h"

#include <set>

namespace lagoonhitch {

namespace {

std::set<MemberId> seatedWitnesses(const ControlState &State,
                                   const Member &Self) {
  std::set<MemberId> Witnesses(Self.Seats_.Witnesses_.begin(),
                               Self.Seats_.Witnesses_.end());
  if (!oldSeatsRetired(State.Holder_, Self))
    Witnesses.insert(Self.OldSeats_->Witnesses_.begin(),
                     Self.OldSeats_->Witnesses_.end());
  return Witnesses;
}

std::vector<ShardRef> withheldShards(const ControlState &State) {
  std::vector<ShardRef> Withheld;
  for (const auto &[Key, Release] : State.Releases_)
    if (Release.Phase_ != ReleasePhase::Draining)
      Withheld.push_back({Key.Service_, Key.Shard_, Release.Token_});
  return Withheld;
}

void retireOldSeats(ControlState &State, const Member &Self, Instant Now,
                    ControlActions &Actions) {
  if (!Self.OldSeats_)
    return;
  if (newSeatsUntil(State.Holder_, Self, State.Options_.Lease_, Now) <= Now)
    return;
  if (oldSeatsRetired(State.Holder_, Self)) {
    if (!isAppending<Record::SeatDone>(State))
      appendRecord(State, Record::SeatDone{Self.Id_, Self.Seats_.Epoch_},
                   "the new witnesses hold the lease", Now, Actions);
    return;
  }
  for (MemberId Witness : Self.OldSeats_->Witnesses_)
    sendMessage(State, Witness, LeaseMessage::Retire{Self.OldSeats_->Epoch_},
                Actions);
}

/// While seats change a loss may cost two witnesses, so each answer moves the
/// change on at once.
void advanceSeats(ControlState &State, Instant Now, ControlActions &Actions) {
  const Member *Self = selfOf(State);
  if (Self != nullptr && !State.Resigning_)
    retireOldSeats(State, *Self, Now, Actions);
}

/// A holder that renews in spite of a promise may have been suspected for a
/// lost message only, so the successor is asked whether it still goes on.
void answerRenewal(ControlState &State, const LeaseMessage &Message,
                   const LeaseMessage::Renew &Renewal, Instant Now,
                   ControlActions &Actions) {
  const MemberId Holder = Message.From_;
  const LeaseMessage::RenewAck Reply =
      onRenew(State.Witness_, tableOf(State), Holder, Renewal, Now);
  sendMessageAs(Message.To_, Holder, Reply, Actions);
  if (Reply.Accepted_)
    return;
  const auto Seat = State.Witness_.Seats_.find(Holder);
  if (Seat == State.Witness_.Seats_.end() ||
      Seat->second.PromisedTo_ == NoMember)
    return;
  sendMessageAs(
      Message.To_, Seat->second.PromisedTo_,
      LeaseMessage::PromiseQuery{Holder, Seat->second.PromiseAttempt_},
      Actions);
}

} // namespace

void sendMessageAs(MemberId From, MemberId To, LeaseMessage::Body Body,
                   ControlActions &Actions) {
  Actions.Messages_.push_back({From, To, std::move(Body)});
}

void sendMessage(const ControlState &State, MemberId To,
                 LeaseMessage::Body Body, ControlActions &Actions) {
  sendMessageAs(State.Self_, To, std::move(Body), Actions);
}

void renewLease(ControlState &State, Instant Now, ControlActions &Actions) {
  updateLease(State, Now, Actions);
  const Member *Self = selfOf(State);
  if (Self == nullptr || State.Resigning_)
    return;
  const bool NewSeats = State.RenewedEpoch_ != Self->Seats_.Epoch_;
  if (Now < State.NextRenewal_ && !NewSeats)
    return;
  State.RenewedEpoch_ = Self->Seats_.Epoch_;
  State.NextRenewal_ = Now + State.Options_.Lease_.RenewEvery_;
  LeaseMessage::Renew Renewal;
  Renewal.Sequence_ = beginRenewal(State.Holder_, Now);
  Renewal.Floor_ = State.ReleaseFloor_;
  Renewal.Withheld_ = withheldShards(State);
  for (MemberId Witness : seatedWitnesses(State, *Self))
    sendMessage(State, Witness, Renewal, Actions);
  sendGrants(State, Actions);
  retireOldSeats(State, *Self, Now, Actions);
}

void updateLease(ControlState &State, Instant Now, ControlActions &Actions) {
  const Member *Self = selfOf(State);
  State.LeaseUntil_ =
      Self == nullptr || State.Resigning_
          ? Instant::min()
          : leaseUntil(State.Holder_, *Self, State.Options_.Lease_, Now);
  const bool HasLease = State.LeaseUntil_ > Now;
  if (HasLease == State.HadLease_)
    return;
  State.HadLease_ = HasLease;
  State.LapsedSince_ = Now;
  Actions.Events_.emplace_back(
      HasLease ? EventId::LeaseAcquired : EventId::LeaseLapsed, "");
}

void reportSilentHolders(ControlState &State, Instant Now,
                         ControlActions &Actions) {
  for (const Suspicion &Due :
       dueSuspicions(State.Witness_, tableOf(State), seatIds(State),
                     State.Options_.Lease_, Now))
    sendMessage(State, Due.Successor_, LeaseMessage::Suspect{Due.Victim_},
                Actions);
}

bool handleLeaseMessage(ControlState &State, const LeaseMessage &Message,
                        Instant Now, ControlActions &Actions) {
  if (const auto *Renewal = std::get_if<LeaseMessage::Renew>(&Message.Body_)) {
    answerRenewal(State, Message, *Renewal, Now, Actions);
    return true;
  }
  if (const auto *Ack = std::get_if<LeaseMessage::RenewAck>(&Message.Body_)) {
    if (Ack->Accepted_)
      noteAck(State.Holder_, Message.From_, Ack->Sequence_);
    updateLease(State, Now, Actions);
    advanceSeats(State, Now, Actions);
    return true;
  }
  if (const auto *Order = std::get_if<LeaseMessage::Retire>(&Message.Body_)) {
    if (onRetire(State.Witness_, Message.From_, *Order, Now))
      sendMessageAs(Message.To_, Message.From_,
                    LeaseMessage::RetireAck{Order->Epoch_}, Actions);
    return true;
  }
  if (const auto *Ack = std::get_if<LeaseMessage::RetireAck>(&Message.Body_)) {
    noteRetired(State.Holder_, Message.From_, Ack->Epoch_);
    updateLease(State, Now, Actions);
    advanceSeats(State, Now, Actions);
    return true;
  }
  return false;
}

} // namespace lagoonhitch

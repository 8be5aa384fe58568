#include "control/member_duty.h"

#include "control/lease_duty.h"
#include "control/outbox.h"
#include "control/release_duty.h"

namespace lagoonhitch {

namespace {

/// Gives the next incarnation a number of its own (SplitMix64).
std::uint64_t nextNonce(std::uint64_t Nonce) {
  Nonce += 0x9E3779B97F4A7C15ULL;
  Nonce = (Nonce ^ (Nonce >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Nonce = (Nonce ^ (Nonce >> 27)) * 0x94D049BB133111EBULL;
  return Nonce ^ (Nonce >> 31);
}

void forgetIncarnation(ControlState &State) {
  State.Former_.insert(State.Self_);
  State.Self_ = NoMember;
  State.Identity_.Nonce_ = nextNonce(State.Identity_.Nonce_);
  State.Holder_ = LeaseHolder();

  State.Takeovers_.clear();
  State.WaivedFor_.clear();
  State.WaivedBy_.clear();
  State.Releases_.clear();
  State.Granted_.clear();
  State.ReleaseFloor_ = 0;
  State.Resigning_ = false;
  State.UpdateSequence_ = 0;
  State.NextRenewal_ = Instant::min();
}

MemberId findOwnJoin(const ControlState &State) {
  for (const auto &[Id, One] : tableOf(State).Members_)
    if (One.Nonce_ == State.Identity_.Nonce_)
      return Id;
  return NoMember;
}

/// The heirs that could serve for this member without the log.
std::set<MemberId> liveHeirs(const ControlState &State, const Member &Self) {
  std::set<MemberId> Heirs = {Self.Seats_.Heir_};
  if (Self.OldSeats_)
    Heirs.insert(Self.OldSeats_->Heir_);
  std::erase_if(Heirs, [&State](MemberId Id) {
    return Id == NoMember || findMember(tableOf(State), Id) == nullptr;
  });
  return Heirs;
}

bool shouldResign(const ControlState &State, Instant Now) {
  const Duration Limit = State.Options_.ResignAfter_;
  if (State.HadLease_ || Now - State.LapsedSince_ < Limit ||
      Now - State.JoinedAt_ < Limit)
    return false;
  return Now - State.CaughtUpAt_ < Limit;
}

void resign(ControlState &State, const Member &Self, Instant Now,
            ControlActions &Actions) {
  const std::set<MemberId> Heirs = liveHeirs(State, Self);
  bool AllWaived = true;
  for (MemberId Heir : Heirs) {
    if (State.WaivedBy_.count(Heir) > 0)
      continue;
    AllWaived = false;
    sendMessage(State, Heir, LeaseMessage::WaiveAsk{}, Actions);
  }
  if (AllWaived && !isAppending<Record::Leave>(State))
    appendRecord(
        State,
        Record::Leave{Self.Id_, Self.Seats_.Epoch_, finalReleases(State)},
        State.Leaving_ ? "orderly stop" : "the witnesses are lost", Now,
        Actions);
}

} // namespace

void joinIfNeeded(ControlState &State, Instant Now, ControlActions &Actions) {
  const bool Ready = State.Reader_.Synced_ && !State.Leaving_ &&
                     State.CaughtUpAt_ != Instant::min();
  if (State.Self_ != NoMember || !Ready || isAppending<Record::Join>(State))
    return;
  State.Identity_.Slots_ = State.Slots_;
  appendRecord(State, Record::Join{State.Identity_}, "daemon start", Now,
               Actions);
}

void updateMembership(ControlState &State, Instant Now,
                      ControlActions &Actions) {
  if (State.Self_ != NoMember && isRemoved(tableOf(State), State.Self_)) {
    Actions.Events_.emplace_back(EventId::Removed, std::to_string(State.Self_));
    forgetIncarnation(State);
  }
  if (State.Self_ != NoMember)
    return;
  State.Self_ = findOwnJoin(State);
  if (State.Self_ == NoMember)
    return;
  State.JoinedAt_ = Now;
  State.LapsedSince_ = Now;
  Actions.Events_.emplace_back(EventId::Joined, std::to_string(State.Self_));
  if (selfOf(State)->Slots_ != State.Slots_ || State.Leaving_)
    appendUpdate(State, Now, Actions);
}

void appendUpdate(ControlState &State, Instant Now, ControlActions &Actions) {
  if (State.Self_ == NoMember)
    return;
  Record::Update Body;
  Body.Member_ = State.Self_;
  Body.Sequence_ = ++State.UpdateSequence_;
  Body.Slots_ = State.Slots_;
  Body.Draining_ = State.Leaving_;
  pruneOutbox(State);
  appendRecord(State, std::move(Body), "upstreams changed", Now, Actions);
}

void driveLeaving(ControlState &State, Instant Now, ControlActions &Actions) {
  const Member *Self = selfOf(State);
  if (Self == nullptr)
    return;
  const bool Alone = tableOf(State).Members_.size() == 1;
  const bool HandedOver =
      !holdsShards(tableOf(State), State.Self_) && State.Takeovers_.empty();
  const bool LeftInOrder =
      State.Leaving_ && Self->Draining_ && (Alone || HandedOver);
  if (!State.Resigning_ && (LeftInOrder || shouldResign(State, Now))) {
    State.Resigning_ = true;
    updateLease(State, Now, Actions);
  }
  if (State.Resigning_)
    resign(State, *Self, Now, Actions);
}

} // namespace lagoonhitch

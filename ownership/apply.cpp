#include "ownership/apply.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

Member *mutableMember(Table &State, MemberId Id) {
  const std::map<MemberId, Member>::iterator Found = State.Members_.find(Id);
  return Found == State.Members_.end() ? nullptr : &Found->second;
}

/// A member that leaves without a successor may have had one that the log
/// never saw; no number of promises reaches this step.
constexpr Token LeaveTokenStep = 1 << 16;

void giveShard(Shard &Given, MemberId Owner, Token Step = 1) {
  Given.Owner_ = Owner;
  Given.Target_ = NoMember;
  Given.Token_ += Step;
}

bool applyBody(Table &State, const Record::Join &Body, Offset At) {
  for (const auto &[Id, Existing] : State.Members_)
    if (Existing.Nonce_ == Body.Member_.Nonce_)
      return false;
  Member Joined = Body.Member_;
  Joined.Id_ = At + 1;
  Joined.Seats_ = SeatSet();
  Joined.OldSeats_.reset();
  State.Members_.emplace(Joined.Id_, std::move(Joined));
  ++State.PlanVersion_;
  return true;
}

bool applyBody(Table &State, const Record::Update &Body, Offset) {
  Member *Found = mutableMember(State, Body.Member_);
  if (Found == nullptr || Body.Sequence_ <= Found->UpdateSequence_)
    return false;
  Found->UpdateSequence_ = Body.Sequence_;
  Found->Slots_ = Body.Slots_;
  Found->Draining_ = Body.Draining_;
  ++State.PlanVersion_;
  return true;
}

void applyMove(Table &State, const Record::Plan::Move &Move) {
  const auto Service = State.Services_.find(Move.Service_);
  if (Service == State.Services_.end())
    return;
  if (Move.Shard_ >= Service->second.size())
    return;
  if (findMember(State, Move.Target_) == nullptr)
    return;
  Shard &Moved = Service->second[Move.Shard_];
  if (Moved.Owner_ == NoMember)
    giveShard(Moved, Move.Target_);
  else if (Moved.Owner_ != Move.Target_)
    Moved.Target_ = Move.Target_;
}

void applySeat(Table &State, const Record::Plan::Seat &Seat) {
  Member *Found = mutableMember(State, Seat.Member_);
  if (Found == nullptr || Found->OldSeats_)
    return;
  if (Seat.Seats_.Epoch_ != Found->Seats_.Epoch_ + 1)
    return;
  Found->OldSeats_ = Found->Seats_;
  Found->Seats_ = Seat.Seats_;
}

bool applyBody(Table &State, const Record::Plan &Body, Offset) {
  if (Body.PlanVersion_ != State.PlanVersion_)
    return false;
  for (const Record::Plan::Define &Define : Body.Defines_)
    State.Services_.try_emplace(Define.Service_, Define.ShardCount_);
  for (const Record::Plan::Move &Move : Body.Moves_)
    applyMove(State, Move);
  for (const Record::Plan::Seat &Seat : Body.Seats_)
    applySeat(State, Seat);
  ++State.PlanVersion_;
  return true;
}

bool applyRelease(Table &State, MemberId Owner, const ShardRef &Ref) {
  const auto Service = State.Services_.find(Ref.Service_);
  if (Service == State.Services_.end() || Ref.Shard_ >= Service->second.size())
    return false;
  Shard &Released = Service->second[Ref.Shard_];
  if (Released.Owner_ != Owner || Released.Token_ != Ref.Token_)
    return false;
  // The target may have left since the plan; the shard is then without owner.
  giveShard(Released, Released.Target_);
  return true;
}

bool applyBody(Table &State, const Record::Release &Body, Offset) {
  if (findMember(State, Body.Owner_) == nullptr)
    return false;
  bool Effective = false;
  for (const ShardRef &Ref : Body.Shards_)
    Effective |= applyRelease(State, Body.Owner_, Ref);
  if (Effective)
    ++State.PlanVersion_;
  return Effective;
}

bool applyBody(Table &State, const Record::SeatDone &Body, Offset) {
  Member *Found = mutableMember(State, Body.Member_);
  if (Found == nullptr || !Found->OldSeats_)
    return false;
  if (Found->Seats_.Epoch_ != Body.Epoch_)
    return false;
  Found->OldSeats_.reset();
  ++State.PlanVersion_;
  return true;
}

void removeMember(Table &State, MemberId Id, MemberId Successor, Token Step) {
  for (auto &[Name, Shards] : State.Services_) {
    for (Shard &One : Shards) {
      if (One.Owner_ == Id)
        giveShard(One, Successor, Step);
      else if (One.Target_ == Id)
        One.Target_ = NoMember;
    }
  }
  State.Members_.erase(Id);
  ++State.PlanVersion_;
}

bool applyBody(Table &State, const Record::TakeOver &Body, Offset) {
  const bool BothMembers = findMember(State, Body.Victim_) != nullptr &&
                           findMember(State, Body.Successor_) != nullptr;
  if (!BothMembers || Body.Victim_ == Body.Successor_)
    return false;
  for (const ShardRef &Ref : Body.Released_)
    applyRelease(State, Body.Victim_, Ref);
  removeMember(State, Body.Victim_, Body.Successor_, Body.TokenStep_);
  return true;
}

bool applyBody(Table &State, const Record::Leave &Body, Offset) {
  const Member *Leaving = findMember(State, Body.Member_);
  if (Leaving == nullptr || Leaving->Seats_.Epoch_ != Body.Epoch_)
    return false;
  for (const ShardRef &Ref : Body.Released_)
    applyRelease(State, Body.Member_, Ref);
  removeMember(State, Body.Member_, NoMember, LeaveTokenStep);
  return true;
}

bool applyBody(Table &State, const Record::Evict &Body, Offset) {
  const Member *Evicted = findMember(State, Body.Member_);
  if (Evicted == nullptr || isSettled(*Evicted))
    return false;
  if (holdsShards(State, Body.Member_))
    return false;
  removeMember(State, Body.Member_, NoMember, LeaveTokenStep);
  return true;
}

bool applyBody(Table &, const Record::Checkpoint &, Offset) { return false; }

} // namespace

bool apply(Table &State, const Record &Entry, Offset At) {
  const bool Effective = std::visit(
      [&State, At](const auto &Body) { return applyBody(State, Body, At); },
      Entry.Body_);
  State.Next_ = At + 1;
  return Effective;
}

const char *recordKind(const Record &Entry) {
  static constexpr const char *Names[] = {"join",    "update",    "plan",
                                          "release", "seat-done", "take-over",
                                          "leave",   "evict",     "checkpoint"};
  return Names[Entry.Body_.index()];
}

} // namespace lagoonhitch

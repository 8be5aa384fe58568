#include "control/outbox.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::seconds MaxBackoff{8};

bool isMoot(const ControlState &, const Record::Checkpoint &) { return false; }

bool isMoot(const ControlState &State, const Record::Join &Body) {
  return Body.Member_.Nonce_ != State.Identity_.Nonce_ ||
         State.Self_ != NoMember;
}

bool isMoot(const ControlState &State, const Record::Update &Body) {
  return Body.Member_ != State.Self_ || Body.Sequence_ != State.UpdateSequence_;
}

bool isMoot(const ControlState &State, const Record::Plan &Body) {
  return Body.PlanVersion_ != tableOf(State).PlanVersion_;
}

bool isMoot(const ControlState &State, const Record::Release &Body) {
  return std::none_of(
      Body.Shards_.begin(), Body.Shards_.end(), [&](const ShardRef &Ref) {
        const Shard *One = findShard(tableOf(State), Ref.Service_, Ref.Shard_);
        return One != nullptr && One->Owner_ == Body.Owner_ &&
               One->Token_ == Ref.Token_;
      });
}

bool isMoot(const ControlState &State, const Record::SeatDone &Body) {
  const Member *Self = selfOf(State);
  return Self == nullptr || Self->Id_ != Body.Member_ ||
         Self->Seats_.Epoch_ != Body.Epoch_ || !Self->OldSeats_;
}

bool isMoot(const ControlState &State, const Record::TakeOver &Body) {
  return findMember(tableOf(State), Body.Victim_) == nullptr ||
         Body.Successor_ != State.Self_;
}

bool isMoot(const ControlState &State, const Record::Leave &Body) {
  const Member *Self = selfOf(State);
  return Self == nullptr || Self->Id_ != Body.Member_ ||
         Self->Seats_.Epoch_ != Body.Epoch_;
}

bool isMoot(const ControlState &State, const Record::Evict &Body) {
  const Member *Found = findMember(tableOf(State), Body.Member_);
  return Found == nullptr || isSettled(*Found);
}

} // namespace

void appendRecord(ControlState &State, Record::Body Body,
                  const std::string &Why, Instant Now,
                  ControlActions &Actions) {
  Record Entry;
  Entry.Id_ = std::to_string(State.Identity_.Nonce_) + "-" +
              std::to_string(++State.NextRecord_);
  Entry.By_ = State.Identity_.Host_;
  Entry.Why_ = Why;
  Entry.Body_ = std::move(Body);
  Actions.Appends_.push_back(Entry);
  State.Outbox_.push_back({std::move(Entry), Now,
                           Now + State.Options_.AppendRetry_,
                           State.Options_.AppendRetry_});
}

void noteRead(ControlState &State, const Record &Entry) {
  std::erase_if(State.Outbox_, [&](const ControlState::PendingAppend &Pending) {
    return Pending.Record_.Id_ == Entry.Id_;
  });
}

void pruneOutbox(ControlState &State) {
  std::erase_if(State.Outbox_, [&](const ControlState::PendingAppend &Pending) {
    return std::visit([&](const auto &Body) { return isMoot(State, Body); },
                      Pending.Record_.Body_);
  });
}

void retryAppends(ControlState &State, Instant Now, ControlActions &Actions) {
  for (ControlState::PendingAppend &Pending : State.Outbox_) {
    if (Now < Pending.RetryAt_ || State.CaughtUpAt_ <= Pending.SentAt_)
      continue;
    Pending.SentAt_ = Now;
    Pending.Backoff_ = std::min<Duration>(Pending.Backoff_ * 2, MaxBackoff);
    Pending.RetryAt_ = Now + Pending.Backoff_;
    Actions.Appends_.push_back(Pending.Record_);
  }
}

} // namespace lagoonhitch

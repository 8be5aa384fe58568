#include "control/release_duty.h"

#include "control/outbox.h"

namespace lagoonhitch {

namespace {

void beginReleases(ControlState &State, ControlActions &Actions) {
  for (const auto &[Service, Shards] : tableOf(State).Services_) {
    for (ShardId Id = 0; Id < Shards.size(); ++Id) {
      const Shard &One = Shards[Id];
      if (One.Owner_ != State.Self_ || One.Target_ == NoMember)
        continue;
      ControlState::Release Started;
      Started.Token_ = One.Token_;
      if (State.Releases_.try_emplace({Service, Id}, Started).second)
        Actions.Events_.emplace_back(EventId::ReleaseStarted,
                                     Service + "/" + std::to_string(Id));
    }
  }
}

/// \returns whether the release is over or not wanted any more.
bool isEnded(ControlState &State, const ShardKey &Key,
             const ControlState::Release &Release) {
  const Shard *One = findShard(tableOf(State), Key.Service_, Key.Shard_);
  if (One == nullptr)
    return true;
  if (One->Owner_ != State.Self_ || One->Token_ != Release.Token_) {
    State.ReleaseFloor_ = tableOf(State).Next_;
    return true;
  }
  return One->Target_ == NoMember && Release.Phase_ != ReleasePhase::Appended;
}

} // namespace

void updateReleases(ControlState &State, ControlActions &Actions) {
  if (State.Self_ == NoMember) {
    State.Releases_.clear();
    return;
  }
  std::erase_if(State.Releases_, [&State](const auto &Entry) {
    return isEnded(State, Entry.first, Entry.second);
  });
  beginReleases(State, Actions);
}

void noteDrained(ControlState &State, const ShardRef &Ref) {
  const auto Found = State.Releases_.find({Ref.Service_, Ref.Shard_});
  if (Found == State.Releases_.end())
    return;
  ControlState::Release &Release = Found->second;
  if (Release.Token_ != Ref.Token_ || Release.Phase_ != ReleasePhase::Draining)
    return;
  Release.Phase_ = ReleasePhase::Drained;
  Release.Renewal_ = State.Holder_.Sequence_ + 1;
  State.NextRenewal_ = Instant::min();
}

void driveReleases(ControlState &State, Instant Now, ControlActions &Actions) {
  const Member *Self = selfOf(State);
  if (Self == nullptr)
    return;
  Record::Release Batch;
  Batch.Owner_ = State.Self_;
  for (auto &[Key, Release] : State.Releases_) {
    if (Release.Phase_ != ReleasePhase::Drained ||
        !isWitnessed(State.Holder_, *Self, Release.Renewal_))
      continue;
    Release.Phase_ = ReleasePhase::Appended;
    Batch.Shards_.push_back({Key.Service_, Key.Shard_, Release.Token_});
  }
  if (!Batch.Shards_.empty())
    appendRecord(State, std::move(Batch), "planned move", Now, Actions);
}

} // namespace lagoonhitch

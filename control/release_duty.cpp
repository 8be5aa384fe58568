#include "control/release_duty.h"

#include "control/lease_duty.h"
#include "control/outbox.h"

namespace lagoonhitch {

namespace {

constexpr std::size_t MaxGrants = 4096;

/// Forgets grants that the table has confirmed or overtaken.
void pruneGrants(ControlState &State) {
  std::erase_if(State.Granted_, [&State](const auto &Entry) {
    const Shard *One =
        findShard(tableOf(State), Entry.first.Service_, Entry.first.Shard_);
    return One != nullptr && One->Token_ > Entry.second.second;
  });
}

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
  pruneGrants(State);
  if (State.Self_ == NoMember) {
    State.Releases_.clear();
    State.Granted_.clear();
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

std::vector<ShardRef> finalReleases(const ControlState &State) {
  std::vector<ShardRef> Final;
  for (const auto &[Key, Release] : State.Releases_)
    if (Release.Phase_ == ReleasePhase::Appended)
      Final.push_back({Key.Service_, Key.Shard_, Release.Token_});
  return Final;
}

void sendGrants(const ControlState &State, ControlActions &Actions) {
  std::map<MemberId, LeaseMessage::Granted> Grants;
  for (const ShardRef &Ref : finalReleases(State)) {
    const Shard *One = findShard(tableOf(State), Ref.Service_, Ref.Shard_);
    if (One != nullptr && One->Target_ != NoMember)
      Grants[One->Target_].Shards_.push_back(Ref);
  }
  for (auto &[Target, Body] : Grants)
    sendMessage(State, Target, std::move(Body), Actions);
}

void onGranted(ControlState &State, const LeaseMessage &Message,
               ControlActions &Actions) {
  for (const ShardRef &Ref :
       std::get<LeaseMessage::Granted>(Message.Body_).Shards_) {
    if (State.Granted_.size() >= MaxGrants)
      return;
    State.Granted_[{Ref.Service_, Ref.Shard_}] = {Message.From_, Ref.Token_};
  }
  Actions.ViewChanged_ = true;
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
  if (Batch.Shards_.empty())
    return;
  appendRecord(State, std::move(Batch), "planned move", Now, Actions);
  sendGrants(State, Actions);
}

} // namespace lagoonhitch

#include "control/routing_view.h"

#include "control/takeover_duty.h"

namespace lagoonhitch {

RoutingView makeView(const ControlState &State) {
  RoutingView View;
  View.Self_ = State.Self_;
  View.Table_ = std::make_shared<const Table>(tableOf(State));
  for (const auto &[Key, Release] : State.Releases_)
    View.Releasing_[Key] = Release.Token_;
  for (const auto &[Key, Grant] : State.Granted_) {
    const Shard *One = findShard(*View.Table_, Key.Service_, Key.Shard_);
    if (One != nullptr && One->Owner_ == Grant.first &&
        One->Token_ == Grant.second && One->Target_ == State.Self_)
      View.Granted_[Key] = Grant.second + 1;
  }
  for (const auto &[Victim, Attempt] : State.Takeovers_) {
    const Member *Lost = findMember(tableOf(State), Victim);
    if (Attempt.Phase_ != TakeoverPhase::Committed || Lost == nullptr ||
        !isHeirOf(State, *Lost))
      continue;
    for (const ShardRef &Ref : inheritedShards(Attempt, tableOf(State)))
      View.Inherited_[{Ref.Service_, Ref.Shard_}] = Ref.Token_;
  }
  return View;
}

std::optional<Token> servedToken(const RoutingView &View,
                                 const std::string &Service, ShardId Id) {
  const Shard *One = findShard(*View.Table_, Service, Id);
  if (One == nullptr || View.Self_ == NoMember)
    return std::nullopt;
  const ShardKey Key{Service, Id};
  if (One->Owner_ == View.Self_ && View.Releasing_.count(Key) == 0)
    return One->Token_;
  const auto Granted = View.Granted_.find(Key);
  if (Granted != View.Granted_.end())
    return Granted->second;
  const auto Inherited = View.Inherited_.find(Key);
  if (Inherited != View.Inherited_.end())
    return Inherited->second;
  return std::nullopt;
}

} // namespace lagoonhitch

#include "ownership/key_takeover.h"

#include "ownership/key_ownership.h"
#include "ownership/key_plan.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace lagoonhitch {

namespace {

/// Returns whether a host that owns keys is suspected to have failed.
/// \param Peer the host, nullptr if it is not a member.
bool isSuspected(const KeyOwnershipState &State, const KeyPeer *Peer,
                 Duration Uptime, std::size_t Rank) {
  const Duration ContactTimeout =
      Peer == nullptr ? Duration() : Peer->ContactTimeout_;
  const Duration Limit =
      std::max<Duration>(State.Options_.SuspectAfter_, ContactTimeout) +
      State.Options_.RankDelay_ * static_cast<int>(Rank);
  return Peer != nullptr ? Peer->SinceLastContact_ > Limit : Uptime > Limit;
}

/// Returns the other hosts that own keys and are suspected to have failed.
std::set<std::string> suspectedOwners(const KeyOwnershipState &State,
                                      const KeyOwnershipInputs &Inputs) {
  std::set<std::string_view> Owners;
  for (const KeyRow &Row : State.Table_.Rows_)
    if (Row.Owner_.Host_ != State.Host_)
      Owners.insert(Row.Owner_.Host_);
  const std::size_t Rank = rankOf(State, Inputs);
  std::set<std::string> Suspected;
  for (const KeyPeer &Peer : Inputs.Peers_)
    if (Owners.erase(Peer.Host_) > 0 &&
        isSuspected(State, &Peer, Inputs.Uptime_, Rank))
      Suspected.insert(Peer.Host_);
  for (const std::string_view Unknown : Owners)
    if (isSuspected(State, nullptr, Inputs.Uptime_, Rank))
      Suspected.emplace(Unknown);
  return Suspected;
}

} // namespace

std::uint64_t highestEpoch(const KeyTable &Table, const std::string &Host) {
  std::uint64_t Highest = 0;
  for (const KeyRow &Row : Table.Rows_)
    if (Row.Owner_.Host_ == Host)
      Highest = std::max(Highest, Row.Owner_.Epoch_);
  return Highest;
}

void updateTakeovers(KeyOwnershipState &State, const KeyOwnershipInputs &Inputs,
                     KeyActions &Actions, Instant Now) {
  const std::set<std::string> Suspected = suspectedOwners(State, Inputs);
  std::erase_if(State.Takeovers_, [&Suspected](const auto &Entry) {
    return !Suspected.contains(Entry.first);
  });
  for (const std::string &Host : Suspected)
    if (!State.Takeovers_.contains(Host))
      State.Takeovers_[Host].Epoch_ = highestEpoch(State.Table_, Host) + 1;
  for (auto &[Host, Attempt] : State.Takeovers_) {
    const bool IsOutdated = highestEpoch(State.Table_, Host) >= Attempt.Epoch_;
    if (IsOutdated) {
      Attempt.Epoch_ = highestEpoch(State.Table_, Host) + 1;
      Attempt.AcknowledgedAt_.reset();
    }
    if (Attempt.AcknowledgedAt_ || Attempt.AppendInFlight_ ||
        Now < Attempt.NextAppendAt_)
      continue;
    Attempt.AppendInFlight_ = true;
    KeyAction Action;
    Action.Kind_ = KeyAction::Kind::AppendEpoch;
    Action.Host_ = Host;
    Action.Epoch_ = Attempt.Epoch_;
    Actions.push_back(std::move(Action));
  }
}

void onTakeoverEpochReply(KeyOwnershipState &State, const std::string &Host,
                          std::uint64_t Epoch, AppendReply::Kind Result,
                          Instant Now) {
  const auto Found = State.Takeovers_.find(Host);
  if (Found == State.Takeovers_.end() || Found->second.Epoch_ != Epoch)
    return;
  Takeover &Attempt = Found->second;
  Attempt.AppendInFlight_ = false;
  if (Result == AppendReply::Kind::Done) {
    Attempt.AcknowledgedAt_ = Now;
    return;
  }
  Attempt.NextAppendAt_ = Now + State.Options_.RenewRetryDelay_;
  if (Result == AppendReply::Kind::Fenced) {
    Attempt.Epoch_ += Attempt.EpochStep_;
    Attempt.EpochStep_ = std::min(Attempt.EpochStep_ * 2, MaxEpochStep);
  }
}

} // namespace lagoonhitch

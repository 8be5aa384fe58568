#include "ownership/key_takeover.h"

#include "ownership/key_ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace lagoonhitch {

namespace {

/// Returns this host's place in the order in which the hosts take over the keys
/// of a failed one. The order differs from one failed host to another.
std::size_t takeoverRank(const KeyOwnershipState &State,
                         const KeyOwnershipInputs &Inputs,
                         const std::string &Failed) {
  const XXH64_hash_t Seed = XXH3_64bits(Failed.data(), Failed.size());
  const auto HashOf = [Seed](const std::string &Host) {
    return XXH3_64bits_withSeed(Host.data(), Host.size(), Seed);
  };
  const XXH64_hash_t Own = HashOf(State.Host_);
  const auto Before = std::count_if(
      Inputs.Peers_.begin(), Inputs.Peers_.end(), [&](const KeyPeer &Peer) {
        return Peer.AcceptsKeys_ && HashOf(Peer.Host_) < Own;
      });
  return static_cast<std::size_t>(Before);
}

/// Returns how much later than the first host a host takes over keys. Each
/// group of hosts leaves the one before it the time that a takeover needs, so
/// that the store gets few appends for a failed host on a large site.
Duration takeoverDelay(const KeyOwnershipOptions &Options, std::size_t Rank) {
  const int Group = static_cast<int>(Rank / Options.RankCount_);
  const int RankInGroup = static_cast<int>(Rank % Options.RankCount_);
  return Options.RankDelay_ * RankInGroup +
         (Options.Lease_ + Options.SuspectAfter_) * Group;
}

/// Returns whether this host is to take over the keys of another one, or is to
/// continue to do so.
/// \param Silence time since the last contact.
bool isTakeoverDue(const KeyOwnershipState &State,
                   const KeyOwnershipInputs &Inputs, const std::string &Host,
                   Duration Silence, Duration ContactTimeout) {
  const Duration Limit =
      std::max<Duration>(State.Options_.SuspectAfter_, ContactTimeout);
  if (Silence <= Limit)
    return false;
  // This host's rank may have grown since, as other hosts returned.
  if (State.Takeovers_.contains(Host))
    return true;
  const std::size_t Rank = takeoverRank(State, Inputs, Host);
  return Silence > Limit + takeoverDelay(State.Options_, Rank);
}

/// Returns the other hosts that own keys and are suspected to have failed.
std::set<std::string> suspectedOwners(const KeyOwnershipState &State,
                                      const KeyOwnershipInputs &Inputs) {
  std::set<std::string_view> Owners;
  for (const KeyRow &Row : State.Table_.Rows_)
    if (Row.Owner_.Host_ != State.Host_)
      Owners.insert(Row.Owner_.Host_);
  std::set<std::string> Suspected;
  for (const KeyPeer &Peer : Inputs.Peers_)
    if (Owners.erase(Peer.Host_) > 0 &&
        isTakeoverDue(State, Inputs, Peer.Host_, Peer.SinceLastContact_,
                      Peer.ContactTimeout_))
      Suspected.insert(Peer.Host_);
  // The others are not members.
  for (const std::string_view Owner : Owners) {
    const std::string Host(Owner);
    if (isTakeoverDue(State, Inputs, Host, Inputs.Uptime_,
                      Inputs.ContactTimeout_))
      Suspected.insert(Host);
  }
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
      // The reply to an append of the previous epoch is ignored.
      Attempt.AppendInFlight_ = false;
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

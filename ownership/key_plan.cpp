#include "ownership/key_plan.h"

#include "ownership/key_balance.h"
#include "ownership/key_holds.h"
#include "ownership/table_restoration.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace lagoonhitch {

namespace {

/// Upstreams that started within this time of each other are assumed to have
/// started for the same reason, such as a power loss.
constexpr std::chrono::milliseconds CommonStartWindow{5000};

KeyOwner ownerOf(const KeyOwnershipState &State, const KeyPeer &Peer) {
  if (Peer.Host_ == State.Host_)
    return localOwner(State);
  return {Peer.Host_, Peer.Upstream_, Peer.StartMillis_, Peer.Epoch_};
}

/// Assigns keys to their new owners in the planned table.
void applyPlacements(const KeyOwnershipState &State, KeyTable &Next,
                     const std::vector<KeyPlacement> &Placements,
                     const KeyOwnershipInputs &Inputs,
                     const std::string &Handover) {
  for (const KeyPlacement &Placement : Placements) {
    const KeyPeer *Peer = findPeer(Inputs, Placement.Host_);
    if (Peer == nullptr)
      continue;
    KeyRow Row;
    Row.Range_ = Placement.Range_;
    Row.Owner_ = ownerOf(State, *Peer);
    Row.Fence_ = State.TopicEnd_ + 1;
    Row.Handover_ = Handover;
    assignKeys(Next, Row);
  }
}

bool planInitialTable(KeyOwnershipState &State,
                      const KeyOwnershipInputs &Inputs, KeyTable &Next,
                      Instant Now) {
  if (State.Table_.Offset_ || !acceptsKeys(Inputs, State.Host_))
    return false;
  const bool MayHaveLostTable =
      State.Era_ != StoreEra() && !State.Options_.FirstStart_;
  if (MayHaveLostTable && !haveEarlierLeasesEnded(State, Now))
    return false;
  const std::size_t Count = static_cast<std::size_t>(
      std::count_if(Inputs.Peers_.begin(), Inputs.Peers_.end(),
                    [](const KeyPeer &Peer) { return Peer.AcceptsKeys_; }));
  if (Count != State.StableMemberCount_) {
    State.StableMemberCount_ = Count;
    State.MembershipStableSince_ = Now;
  }
  const Duration Wait =
      State.Options_.StableMembershipTime_ +
      State.Options_.RankDelay_ * static_cast<int>(rankOf(State, Inputs));
  if (Now - State.MembershipStableSince_ < Wait)
    return false;
  applyPlacements(State, Next, placeKeys({{0, LastKey}}, Inputs, ""), Inputs,
                  "");
  return true;
}

/// Returns whether a host is down, or its upstream started at about the same
/// time as the one on this host.
bool isDownOrStartedTogether(const KeyOwnershipState &State,
                             const KeyPeer &Peer) {
  return !Peer.AcceptsKeys_ ||
         std::abs(Peer.StartMillis_ - State.Upstream_.StartMillis_) <
             CommonStartWindow.count();
}

bool isServing(const KeyOwnershipState &State) {
  return State.Upstream_.State_ == LocalUpstream::State::Serving;
}

/// Returns whether the restarted upstream keeps the keys of its previous
/// incarnation. It does if most hosts are down or starting: after a power loss,
/// the few hosts that are up first would otherwise receive all keys.
bool keepsKeysAfterRestart(const KeyOwnershipState &State,
                           const KeyOwnershipInputs &Inputs) {
  const auto StartingCount =
      std::count_if(Inputs.Peers_.begin(), Inputs.Peers_.end(),
                    [&State](const KeyPeer &Peer) {
                      return isDownOrStartedTogether(State, Peer);
                    });
  const bool MostAreStarting =
      static_cast<std::size_t>(StartingCount) * 2 > Inputs.Peers_.size();
  return MostAreStarting && isServing(State);
}

/// Returns whether the running upstream may hold keys of the incarnation before
/// it: it may have started, and accepted a grant, before this host knew of it.
bool mayHoldPredecessorsKeys(const KeyOwnershipState &State,
                             const KeyRange &Range, Instant Now) {
  return State.GrantMethod_ == GrantMethod::Calls && isUpstreamAlive(State) &&
         (isGrantInFlight(State, Range) ||
          Now < residualGrantsEnd(State, Range));
}

/// Returns whether the incarnation in a row has ended: the one that is known
/// has started later. Otherwise the last heartbeat may be a late one, and the
/// incarnation in the row may be running.
bool hasOwnerEnded(const KeyOwnershipState &State, const KeyRow &Row) {
  return Row.Owner_.StartMillis_ < State.Upstream_.StartMillis_;
}

/// Returns whether the running upstream may hold keys of another incarnation in
/// the table because of a grant by an earlier process of this daemon. Such a
/// grant names only the upstream's ID.
bool mayHoldEarlierGrant(const KeyOwnershipState &State, const KeyRow &Row,
                         Instant Now) {
  const bool IsAddressed = Row.Owner_.Upstream_ == State.Upstream_.Id_;
  return isUpstreamAlive(State) &&
         (IsAddressed || !hasOwnerEnded(State, Row)) &&
         Now < earlierGrantsEnd(State, Row.Range_);
}

/// Returns whether the running upstream gets the keys of another incarnation in
/// the table.
bool keepsKeys(const KeyOwnershipState &State, const KeyOwnershipInputs &Inputs,
               const KeyRow &Row, bool MayHoldEarlierGrant) {
  // No other host may get such keys yet; where they are, they are served.
  if (MayHoldEarlierGrant)
    return isServing(State) && hasOwnerEnded(State, Row);
  return keepsKeysAfterRestart(State, Inputs);
}

/// Updates rows with earlier epochs of this host, and reassigns those of
/// upstream incarnations that have ended or are lost. The latter, unless they
/// count as terminated, only once their grants have expired.
bool planOwnRows(const KeyOwnershipState &State,
                 const KeyOwnershipInputs &Inputs, KeyTable &Next,
                 Instant Now) {
  if (!hasLease(State, Now) ||
      State.Upstream_.State_ == LocalUpstream::State::Unknown)
    return false;
  bool Changed = false;
  for (const KeyRow &Row : rowsOf(State.Table_, State.Host_)) {
    const bool Alive = isUpstreamAlive(State) &&
                       sameIncarnation(Row.Owner_, localOwner(State));
    // A higher token may have been issued in an earlier era of the store.
    const bool NeedsFence =
        eraOf(Row.Fence_) < State.Era_ && !holdsRow(State, Row);
    if (Alive && Row.Owner_.Epoch_ == State.Epoch_ && !NeedsFence)
      continue;
    if (Alive) {
      KeyRow Renewed = Row;
      Renewed.Owner_.Epoch_ = State.Epoch_;
      if (NeedsFence)
        Renewed.Fence_ = State.TopicEnd_ + 1;
      assignKeys(Next, Renewed);
      Changed = true;
      continue;
    }
    const bool Lost = State.Upstream_.State_ == LocalUpstream::State::Lost &&
                      !State.Upstream_.Terminated_;
    const bool MayHold =
        isGrantInFlight(State, Row.Range_) || Now < holdsEnd(State, Row.Range_);
    if (Lost && MayHold)
      continue;
    const bool MayHoldEarlierGrant = mayHoldEarlierGrant(State, Row, Now);
    const bool Keeps = keepsKeys(State, Inputs, Row, MayHoldEarlierGrant);
    if (!Keeps && (MayHoldEarlierGrant ||
                   mayHoldPredecessorsKeys(State, Row.Range_, Now)))
      continue;
    const std::vector<KeyPlacement> Placements =
        Keeps ? std::vector<KeyPlacement>{{Row.Range_, State.Host_}}
              : placeKeys({Row.Range_}, Inputs, "");
    applyPlacements(State, Next, Placements, Inputs, "");
    Changed = Changed || !Placements.empty();
  }
  return Changed;
}

bool planMoves(const KeyOwnershipState &State, const KeyOwnershipInputs &Inputs,
               KeyTable &Next, Instant Now) {
  if (!hasLease(State, Now))
    return false;
  bool Changed = false;
  for (const KeyMove &Move : State.Moves_) {
    const bool Ready =
        Move.Phase_ == KeyMove::Phase::Released && Now >= Move.SafeAt_;
    if (!Ready)
      continue;
    std::vector<KeyPlacement> Placements = {
        {Move.Range_, State.MoveTargets_.at(Move.Range_.First_)}};
    if (!acceptsKeys(Inputs, Placements.front().Host_))
      Placements = placeKeys({Move.Range_}, Inputs, "");
    applyPlacements(State, Next, Placements, Inputs, Move.Handover_);
    Changed = Changed || !Placements.empty();
  }
  return Changed;
}

bool planTakeovers(const KeyOwnershipState &State,
                   const KeyOwnershipInputs &Inputs, KeyTable &Next,
                   Instant Now) {
  const Duration Wait =
      withMaxDrift(State, State.Options_.Lease_) + State.Options_.PauseMargin_;
  bool Changed = false;
  for (const auto &[Host, Attempt] : State.Takeovers_) {
    if (!Attempt.AcknowledgedAt_ || Now < *Attempt.AcknowledgedAt_ + Wait)
      continue;
    std::vector<KeyRange> Ranges;
    for (const KeyRow &Row : rowsOf(State.Table_, Host))
      if (Row.Owner_.Epoch_ < Attempt.Epoch_)
        Ranges.push_back(Row.Range_);
    const std::vector<KeyPlacement> Placements =
        placeKeys(Ranges, Inputs, Host);
    applyPlacements(State, Next, Placements, Inputs, "");
    Changed = Changed || !Placements.empty();
  }
  return Changed;
}

} // namespace

std::size_t rankOf(const KeyOwnershipState &State,
                   const KeyOwnershipInputs &Inputs) {
  std::size_t Rank = 0;
  for (const KeyPeer &Peer : Inputs.Peers_) {
    if (Peer.Host_ == State.Host_)
      break;
    if (Peer.AcceptsKeys_)
      ++Rank;
  }
  return Rank % State.Options_.RankCount_;
}

std::optional<KeyTable> planTable(KeyOwnershipState &State,
                                  const KeyOwnershipInputs &Inputs,
                                  Instant Now) {
  const bool Restored =
      State.Table_.Offset_ &&
      (!areRowsValid(State) || eraOf(*State.Table_.Offset_) != State.Era_ ||
       State.StoredTableEra_ != State.Era_);
  if (Restored)
    return planRestoredTable(State, Inputs, Now);
  KeyTable Next = State.Table_;
  Next.Era_ = State.Era_;
  bool Changed = planInitialTable(State, Inputs, Next, Now);
  Changed = planOwnRows(State, Inputs, Next, Now) || Changed;
  Changed = planMoves(State, Inputs, Next, Now) || Changed;
  Changed = planTakeovers(State, Inputs, Next, Now) || Changed;
  if (!Changed)
    return std::nullopt;
  mergeRows(Next);
  return Next;
}

} // namespace lagoonhitch

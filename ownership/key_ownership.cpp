#include "ownership/key_ownership.h"

#include "ownership/declared_holds.h"
#include "ownership/key_balance.h"
#include "ownership/key_holds.h"
#include "ownership/key_plan.h"
#include "ownership/key_takeover.h"
#include "ownership/table_restoration.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

/// Upper limit of the first delay after a conflict, and how often the limit
/// doubles.
constexpr std::chrono::milliseconds BaseConflictDelay{60};
constexpr std::uint32_t MaxConflictDoublings = 2;
/// Number of consecutive conflicts that are followed by an immediate retry.
constexpr std::uint32_t ImmediateRetries = 2;

/// Returns the delay before the next append after a conflict. It differs from
/// host to host: hosts whose appends conflict repeatedly would otherwise all
/// retry at the same moment, and all but one would fail again.
Duration conflictDelay(const KeyOwnershipState &State) {
  constexpr std::uint64_t Steps = 1024;
  if (State.ConsecutiveConflicts_ < ImmediateRetries)
    return Duration::zero();
  const std::uint32_t Doublings = std::min(
      State.ConsecutiveConflicts_ - ImmediateRetries, MaxConflictDoublings);
  const Duration MaxDelay = BaseConflictDelay * (1U << Doublings);
  const XXH64_hash_t Hash = XXH3_64bits_withSeed(
      State.Host_.data(), State.Host_.size(), State.TopicEnd_);
  return MaxDelay * static_cast<int>(Hash % Steps) / static_cast<int>(Steps);
}

void addEpochRenewal(KeyOwnershipState &State, KeyActions &Actions,
                     Instant Now) {
  if (State.RenewalInFlight_ || Now < State.NextRenewalAt_ ||
      !mayRenewLease(State))
    return;
  State.RenewalInFlight_ = true;
  KeyAction Action;
  Action.Kind_ = KeyAction::Kind::AppendEpoch;
  Action.Host_ = State.Host_;
  Action.Epoch_ = State.Epoch_;
  Actions.push_back(std::move(Action));
}

/// Returns whether the known table is the last record of its topic.
bool isTableAtTopicEnd(const KeyOwnershipState &State) {
  if (eraOf(State.TopicEnd_) != State.Era_)
    return false;
  const bool IsLast =
      State.Table_.Offset_ && *State.Table_.Offset_ + 1 == State.TopicEnd_;
  return IsLast || indexOf(State.TopicEnd_) == 0;
}

void addTableAppend(KeyOwnershipState &State, const KeyOwnershipInputs &Inputs,
                    KeyActions &Actions, Instant Now) {
  if (Now < State.NextTableAppendAt_)
    return;
  if (State.PendingAppend_) {
    const bool Superseded =
        State.TopicEnd_ > State.PendingAppend_->ExpectedEnd_;
    if (!State.PendingAppend_->OutcomeUnknown_ || Superseded)
      return;
    // Retry the same append. At most one of the two can take effect, since both
    // expect the topic to end at the same offset.
    State.PendingAppend_->OutcomeUnknown_ = false;
  } else {
    if (!isTableAtTopicEnd(State))
      return;
    std::optional<KeyTable> Next = planTable(State, Inputs, Now);
    if (!Next)
      return;
    State.PendingAppend_ = PendingAppend{std::move(*Next), State.TopicEnd_,
                                         false, ++State.LastAppendId_};
  }
  KeyAction Action;
  Action.Kind_ = KeyAction::Kind::AppendTable;
  Action.Table_ = State.PendingAppend_->Table_;
  Action.ExpectedEnd_ = State.PendingAppend_->ExpectedEnd_;
  Action.AppendId_ = State.PendingAppend_->AppendId_;
  Actions.push_back(std::move(Action));
}

void startMove(KeyOwnershipState &State, const KeyPlacement &Placement,
               Instant Now) {
  const KeyRow *Row = findRow(State.Table_, Placement.Range_.First_);
  if (Row == nullptr || isMoving(State, Placement.Range_))
    return;
  KeyMove Move;
  Move.Range_ = Placement.Range_;
  Move.Fence_ = Row->Fence_;
  Move.StartedAt_ = Now;
  State.MoveTargets_[Move.Range_.First_] = Placement.Host_;
  State.Moves_.push_back(Move);
}

void startMoves(KeyOwnershipState &State, const KeyOwnershipInputs &Inputs,
                Instant Now) {
  if (!hasLease(State, Now) || !isUpstreamAlive(State) ||
      State.PendingAppend_ || !areRowsValid(State))
    return;
  std::vector<KeyRow> Own;
  for (const KeyRow &Row : State.Table_.Rows_)
    if (Row.Owner_ == localOwner(State))
      Own.push_back(Row);
  if (State.Upstream_.State_ == LocalUpstream::State::Draining) {
    for (const KeyRow &Row : Own)
      if (!isMoving(State, Row.Range_))
        for (const KeyPlacement &Placement :
             placeKeys({Row.Range_}, Inputs, State.Host_))
          startMove(State, Placement, Now);
    return;
  }
  if (Now < State.NextRebalanceAt_ || !State.Moves_.empty())
    return;
  // Their keys would have no owner until the earlier grants have ended.
  std::erase_if(Own, [&State, Now](const KeyRow &Row) {
    return Now < earlierGrantsEnd(State, Row.Range_);
  });
  const std::vector<KeyPlacement> Found =
      findMoves(Own, State.Host_, Inputs, State.Options_);
  if (Found.empty())
    return;
  State.NextRebalanceAt_ = Now + State.Options_.RebalanceInterval_;
  for (const KeyPlacement &Placement : Found)
    startMove(State, Placement, Now);
}

void advanceMoves(KeyOwnershipState &State, KeyActions &Actions, Instant Now) {
  for (KeyMove &Move : State.Moves_) {
    if (Move.Phase_ != KeyMove::Phase::Draining)
      continue;
    if (isGrantInFlight(State, Move.Range_))
      continue;
    Move.Phase_ = KeyMove::Phase::Releasing;
    KeyAction Action;
    Action.Kind_ = KeyAction::Kind::Release;
    Action.Row_.Range_ = Move.Range_;
    Action.Row_.Fence_ = Move.Fence_;
    Actions.push_back(std::move(Action));
  }
  static_cast<void>(Now);
}

void addGrants(KeyOwnershipState &State, KeyActions &Actions, Instant Now) {
  if (!hasLease(State, Now) || !isUpstreamAlive(State))
    return;
  const Duration Hold = grantDuration(State, Now);
  if (Hold < State.Options_.PauseMargin_)
    return;
  for (auto &[First, Keys] : State.HeldKeys_) {
    const bool Due = !Keys.GrantInFlight_ && Now >= Keys.RenewAt_ &&
                     !isMoving(State, Keys.Row_.Range_) &&
                     isKeptByPendingAppend(State, Keys.Row_);
    if (!Due)
      continue;
    Keys.GrantInFlight_ = true;
    State.GrantsInFlight_.push_back(Keys.Row_);
    KeyAction Action;
    Action.Kind_ = KeyAction::Kind::Grant;
    Action.Row_ = Keys.Row_;
    Action.Hold_ = Hold;
    Action.SendBy_ = State.LeaseUntil_ - withMaxDrift(State, Hold) -
                     State.Options_.PauseMargin_;
    Actions.push_back(std::move(Action));
  }
}

/// Drops the pending append once a table at or after its place is known. Until
/// then the topic may have grown by this append itself, also if its repetition
/// conflicts.
void resolvePendingAppend(KeyOwnershipState &State) {
  const bool Resolved =
      State.PendingAppend_ && State.Table_.Offset_ &&
      *State.Table_.Offset_ >= State.PendingAppend_->ExpectedEnd_;
  if (Resolved)
    State.PendingAppend_.reset();
}

void dropExpiredGrants(KeyOwnershipState &State, Instant Now) {
  std::erase_if(State.ResidualGrants_, [Now](const ResidualGrant &Grant) {
    return Grant.Until_ <= Now;
  });
}

} // namespace

void onTable(KeyOwnershipState &State, const std::optional<KeyTable> &Table,
             Offset End, Instant Now) {
  onStoreEra(State, eraOf(Table ? std::max(End, *Table->Offset_) : End), Now);
  if (!State.TopicRead_)
    State.FirstTopicEnd_ = std::max(End, Table ? *Table->Offset_ + 1 : 0);
  State.TopicRead_ = true;
  if (End < State.TopicEnd_)
    return;
  State.TopicEnd_ = End;
  if (!Table ||
      (State.Table_.Offset_ && *Table->Offset_ <= *State.Table_.Offset_))
    return;
  applyReadTable(State, *Table);
  resolvePendingAppend(State);
  if (!State.EpochAcknowledged_ && !State.RenewalInFlight_)
    State.Epoch_ =
        std::max(State.Epoch_, highestEpoch(State.Table_, State.Host_) + 1);
  noteEarlierProcessKeys(State, Now);
  syncHolds(State);
}

KeyActions onKeyTick(KeyOwnershipState &State, const KeyOwnershipInputs &Inputs,
                     Instant Now) {
  KeyActions Actions;
  if (!State.TopicRead_)
    return Actions;
  dropExpiredGrants(State, Now);
  dropHoldsWithoutLease(State, Now);
  addEpochRenewal(State, Actions, Now);
  updateTakeovers(State, Inputs, Actions, Now);
  startMoves(State, Inputs, Now);
  syncHolds(State);
  const bool Calls = State.GrantMethod_ == GrantMethod::Calls;
  if (Calls)
    advanceMoves(State, Actions, Now);
  else
    expireDeclaredHolds(State, Now);
  addTableAppend(State, Inputs, Actions, Now);
  if (Calls)
    addGrants(State, Actions, Now);
  return Actions;
}

void onEpochReply(KeyOwnershipState &State, std::uint64_t Epoch,
                  AppendReply::Kind Result, Instant SentAt, Instant Now) {
  if (Epoch != State.Epoch_)
    return;
  State.RenewalInFlight_ = false;
  switch (Result) {
  case AppendReply::Kind::Done:
    if (!mayRenewLease(State)) {
      State.NextRenewalAt_ = Now;
      return;
    }
    State.EpochAcknowledged_ = true;
    State.EpochStep_ = 1;
    State.LeaseUntil_ =
        std::max(State.LeaseUntil_, SentAt + State.Options_.Lease_);
    State.NextRenewalAt_ = SentAt + State.Options_.RenewInterval_;
    return;
  case AppendReply::Kind::Fenced:
    // Keys held under the old epoch stay held until its lease expires. The rows
    // are rewritten with the new epoch.
    State.Epoch_ += State.EpochStep_;
    State.EpochStep_ = std::min(State.EpochStep_ * 2, MaxEpochStep);
    State.EpochAcknowledged_ = false;
    State.NextRenewalAt_ = Now;
    syncHolds(State);
    return;
  default:
    State.NextRenewalAt_ = Now + State.Options_.RenewRetryDelay_;
    return;
  }
}

void onTableReply(KeyOwnershipState &State, std::uint64_t AppendId,
                  const AppendReply &Reply, Instant Now) {
  if (!State.PendingAppend_ || State.PendingAppend_->AppendId_ != AppendId)
    return;
  switch (Reply.Kind_) {
  case AppendReply::Kind::Done:
    State.Table_ = State.PendingAppend_->Table_;
    State.Table_.Offset_ = Reply.Offset_;
    State.StoredTableEra_ = State.Table_.Era_;
    State.StoreLacksHeldRows_ = false;
    State.TopicEnd_ = std::max(State.TopicEnd_, Reply.Offset_ + 1);
    State.PendingAppend_.reset();
    State.ConsecutiveConflicts_ = 0;
    syncHolds(State);
    return;
  case AppendReply::Kind::Conflict:
    State.TopicEnd_ = std::max(State.TopicEnd_, Reply.End_);
    State.PendingAppend_->OutcomeUnknown_ = true;
    State.NextTableAppendAt_ = Now + conflictDelay(State);
    ++State.ConsecutiveConflicts_;
    return;
  case AppendReply::Kind::Rejected:
  case AppendReply::Kind::Fenced:
  case AppendReply::Kind::Unknown:
    State.PendingAppend_->OutcomeUnknown_ = true;
    State.NextTableAppendAt_ = Now + State.Options_.AppendRetryDelay_;
    return;
  }
}

void onGrantReply(KeyOwnershipState &State, const KeyRow &Row,
                  GrantResult Result, Instant SentAt, Duration Hold,
                  Instant Now) {
  const auto InFlight = std::find(State.GrantsInFlight_.begin(),
                                  State.GrantsInFlight_.end(), Row);
  if (InFlight != State.GrantsInFlight_.end())
    State.GrantsInFlight_.erase(InFlight);
  const Instant LatestEnd = Now + withMaxDrift(State, Hold);
  const bool MayApply =
      Result == GrantResult::Unknown || Result == GrantResult::HigherFence;
  if (MayApply)
    State.ResidualGrants_.push_back({Row.Range_, LatestEnd});
  const auto Found = State.HeldKeys_.find(Row.Range_.First_);
  const bool IsCurrent = Found != State.HeldKeys_.end() &&
                         Found->second.Row_.Range_ == Row.Range_ &&
                         Found->second.Row_.Fence_ == Row.Fence_;
  if (!IsCurrent) {
    if (Result == GrantResult::Granted)
      State.ResidualGrants_.push_back({Row.Range_, LatestEnd});
    return;
  }
  HeldKeys &Keys = Found->second;
  Keys.GrantInFlight_ = false;
  Keys.MayHoldUntil_ = std::max(Keys.MayHoldUntil_, LatestEnd);
  if (Result != GrantResult::Granted) {
    Keys.RenewAt_ = Now + State.Options_.AppendRetryDelay_;
    return;
  }
  Keys.Granted_ = true;
  Keys.GuaranteedUntil_ = SentAt + Hold;
  Keys.RenewAt_ = SentAt + State.Options_.GrantInterval_;
}

void onReleaseReply(KeyOwnershipState &State, const KeyRow &Row,
                    const std::optional<std::string> &Handover, Instant Now) {
  for (KeyMove &Move : State.Moves_) {
    if (Move.Range_ != Row.Range_ || Move.Fence_ != Row.Fence_ ||
        Move.Phase_ != KeyMove::Phase::Releasing)
      continue;
    Move.Phase_ = KeyMove::Phase::Released;
    Move.Handover_ = Handover.value_or("");
    // The upstream may apply a grant of an earlier process after the release.
    Move.SafeAt_ = Handover ? std::max(residualGrantsEnd(State, Move.Range_),
                                       earlierGrantsEnd(State, Move.Range_))
                            : holdsEnd(State, Move.Range_);
  }
  static_cast<void>(Now);
}

void onUpstream(KeyOwnershipState &State, const LocalUpstream &Upstream) {
  State.Upstream_ = Upstream;
  syncHolds(State);
}

bool canServeKey(const KeyOwnershipState &State, KeyId Key, Instant Now) {
  if (Now >= State.LeaseUntil_ || isBeingReleased(State, Key))
    return false;
  const auto After = State.HeldKeys_.upper_bound(Key);
  if (After == State.HeldKeys_.begin())
    return false;
  const HeldKeys &Keys = std::prev(After)->second;
  return contains(Keys.Row_.Range_, Key) && Keys.Granted_ &&
         Now < Keys.GuaranteedUntil_;
}

bool ownsKey(const KeyOwnershipState &State, KeyId Key) {
  const KeyRow *Row = findRow(State.Table_, Key);
  return Row != nullptr && Row->Owner_.Host_ == State.Host_;
}

} // namespace lagoonhitch

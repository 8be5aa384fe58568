#include "ownership/key_ownership.h"

#include "ownership/key_balance.h"
#include "ownership/key_holds.h"
#include "ownership/key_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

/// Highest step by which an epoch is raised after a refusal.
constexpr std::uint64_t MaxEpochStep = 1U << 20U;
/// Longest pause after the first of several conflicts, and how often it
/// doubles.
constexpr std::chrono::milliseconds FirstConflictPause{60};
constexpr std::uint32_t MostDoublings = 2;
/// Conflicts in a row after which an append is tried again at once.
constexpr std::uint32_t FirstConflicts = 2;

/// Hosts whose appends meet again and again wait for different times; else they
/// would all try at the same moment, and all but one in vain.
Duration conflictPause(const KeyDuty &State) {
  constexpr std::uint64_t Steps = 1024;
  if (State.Conflicts_ < FirstConflicts)
    return Duration::zero();
  const std::uint32_t Doublings =
      std::min(State.Conflicts_ - FirstConflicts, MostDoublings);
  const Duration Most = FirstConflictPause * (1U << Doublings);
  const XXH64_hash_t Draw =
      XXH3_64bits_withSeed(State.Host_.data(), State.Host_.size(), State.End_);
  return Most * static_cast<int>(Draw % Steps) / static_cast<int>(Steps);
}

void addShowing(KeyDuty &State, KeyActions &Actions, Instant Now) {
  if (State.Showing_ || Now < State.ShowAt_)
    return;
  State.Showing_ = true;
  KeyAction Action;
  Action.Kind_ = KeyAction::Kind::ShowEpoch;
  Action.Host_ = State.Host_;
  Action.Epoch_ = State.Epoch_;
  Actions.push_back(std::move(Action));
}

void addAppend(KeyDuty &State, const KeySurroundings &Around,
               KeyActions &Actions, Instant Now) {
  if (Now < State.AppendAt_)
    return;
  if (State.Append_) {
    if (!State.Append_->Unclear_)
      return;
    // The same change again: at most one of both can take effect.
    State.Append_->Unclear_ = false;
  } else {
    const bool AtEnd = State.Table_.At_ ? *State.Table_.At_ + 1 == State.End_
                                        : State.End_ == 0;
    if (!AtEnd)
      return;
    std::optional<KeyTable> Next = planTable(State, Around, Now);
    if (!Next)
      return;
    State.Append_ =
        PendingAppend{std::move(*Next), State.End_, false, ++State.Appends_};
  }
  KeyAction Action;
  Action.Kind_ = KeyAction::Kind::AppendTable;
  Action.Table_ = State.Append_->Table_;
  Action.Base_ = State.Append_->Base_;
  Action.Number_ = State.Append_->Number_;
  Actions.push_back(std::move(Action));
}

void startMove(KeyDuty &State, const KeyPlacement &Placement, Instant Now) {
  const KeyRow *Row = findRow(State.Table_, Placement.Range_.First_);
  if (Row == nullptr || isMoving(State, Placement.Range_))
    return;
  KeyMove Move;
  Move.Range_ = Placement.Range_;
  Move.Fence_ = Row->Fence_;
  Move.Since_ = Now;
  State.MoveTargets_[Move.Range_.First_] = Placement.Host_;
  State.Moves_.push_back(Move);
}

void startMoves(KeyDuty &State, const KeySurroundings &Around, Instant Now) {
  if (!hasLease(State, Now) || !upstreamAlive(State) || State.Append_)
    return;
  std::vector<KeyRow> Own;
  for (const KeyRow &Row : State.Table_.Rows_)
    if (Row.Owner_ == self(State))
      Own.push_back(Row);
  if (State.Upstream_.State_ == OwnUpstream::State::Leaving) {
    for (const KeyRow &Row : Own)
      if (!isMoving(State, Row.Range_))
        for (const KeyPlacement &Placement :
             placeKeys({Row.Range_}, Around, State.Host_))
          startMove(State, Placement, Now);
    return;
  }
  if (Now < State.RebalanceAt_ || !State.Moves_.empty())
    return;
  const std::vector<KeyPlacement> Found =
      findMoves(Own, State.Host_, Around, State.Options_);
  if (Found.empty())
    return;
  State.RebalanceAt_ = Now + State.Options_.RebalanceEvery_;
  for (const KeyPlacement &Placement : Found)
    startMove(State, Placement, Now);
}

void advanceMoves(KeyDuty &State, KeyActions &Actions, Instant Now) {
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

/// Returns whether an append that is not settled leaves keys with their owner.
/// The append may take effect at any time, so what it gives away must not be
/// held anew.
bool keepsKeys(const KeyDuty &State, const KeyRow &Row) {
  if (!State.Append_)
    return true;
  const std::vector<KeyRow> &Next = State.Append_->Table_.Rows_;
  return std::all_of(Next.begin(), Next.end(), [&Row](const KeyRow &Other) {
    return !overlaps(Other.Range_, Row.Range_) ||
           (sameLife(Other.Owner_, Row.Owner_) && Other.Fence_ == Row.Fence_);
  });
}

Duration holdFor(const KeyDuty &State, Instant Now) {
  const Duration Left =
      std::chrono::duration_cast<Duration>((State.LeaseUntil_ - Now) *
                                           (1 - State.Options_.Drift_)) -
      State.Options_.PauseMargin_;
  return std::min<Duration>(State.Options_.Hold_, Left);
}

void addGrants(KeyDuty &State, KeyActions &Actions, Instant Now) {
  if (!hasLease(State, Now) || !upstreamAlive(State))
    return;
  const Duration Hold = holdFor(State, Now);
  if (Hold < State.Options_.PauseMargin_)
    return;
  for (auto &[First, Keys] : State.Held_) {
    const bool Due = !Keys.InFlight_ && Now >= Keys.RenewAt_ &&
                     !isMoving(State, Keys.Row_.Range_) &&
                     keepsKeys(State, Keys.Row_);
    if (!Due)
      continue;
    Keys.InFlight_ = true;
    State.GrantsInFlight_.push_back(Keys.Row_);
    KeyAction Action;
    Action.Kind_ = KeyAction::Kind::Grant;
    Action.Row_ = Keys.Row_;
    Action.Hold_ = Hold;
    Actions.push_back(std::move(Action));
  }
}

/// The highest epoch that the table names for a host.
std::uint64_t highestEpoch(const KeyTable &Table, const std::string &Host) {
  std::uint64_t Highest = 0;
  for (const KeyRow &Row : Table.Rows_)
    if (Row.Owner_.Host_ == Host)
      Highest = std::max(Highest, Row.Owner_.Epoch_);
  return Highest;
}

bool isSilent(const KeyDuty &State, const KeySurroundings &Around,
              const std::string &Host) {
  const KeyPeer *Peer = findPeer(Around, Host);
  const Duration Patience = Peer == nullptr ? Duration() : Peer->Patience_;
  const Duration Limit =
      std::max<Duration>(State.Options_.SuspectAfter_, Patience) +
      State.Options_.RankDelay_ * static_cast<int>(rankOf(State, Around));
  return Peer != nullptr ? Peer->Silence_ > Limit : Around.Uptime_ > Limit;
}

void updateTakeovers(KeyDuty &State, const KeySurroundings &Around,
                     KeyActions &Actions, Instant Now) {
  std::erase_if(State.Takeovers_, [&](const auto &Entry) {
    return !isSilent(State, Around, Entry.first) ||
           highestEpoch(State.Table_, Entry.first) == 0;
  });
  for (const KeyRow &Row : State.Table_.Rows_) {
    const std::string &Host = Row.Owner_.Host_;
    const bool Foreign =
        Host != State.Host_ && !State.Takeovers_.contains(Host);
    if (Foreign && isSilent(State, Around, Host))
      State.Takeovers_[Host].Epoch_ = highestEpoch(State.Table_, Host) + 1;
  }
  for (auto &[Host, Attempt] : State.Takeovers_) {
    const bool Outdated = highestEpoch(State.Table_, Host) >= Attempt.Epoch_;
    if (Outdated) {
      Attempt.Epoch_ = highestEpoch(State.Table_, Host) + 1;
      Attempt.ShownAt_.reset();
    }
    if (Attempt.ShownAt_ || Attempt.Asking_ || Now < Attempt.AskAt_)
      continue;
    Attempt.Asking_ = true;
    KeyAction Action;
    Action.Kind_ = KeyAction::Kind::ShowEpoch;
    Action.Host_ = Host;
    Action.Epoch_ = Attempt.Epoch_;
    Actions.push_back(std::move(Action));
  }
}

void dropLateGrants(KeyDuty &State, Instant Now) {
  std::erase_if(State.LateGrants_,
                [Now](const LateGrant &Late) { return Late.Until_ <= Now; });
}

} // namespace

void onTable(KeyDuty &State, const std::optional<KeyTable> &Table, Offset End,
             Instant /*Now*/) {
  State.TableKnown_ = true;
  if (End < State.End_)
    return;
  if (State.Append_ && End > State.Append_->Base_)
    State.Append_.reset();
  State.End_ = End;
  if (!Table || (State.Table_.At_ && *Table->At_ <= *State.Table_.At_))
    return;
  State.Table_ = *Table;
  if (!State.Shown_ && !State.Showing_)
    State.Epoch_ =
        std::max(State.Epoch_, highestEpoch(State.Table_, State.Host_) + 1);
  syncHolds(State);
}

KeyActions onKeyTick(KeyDuty &State, const KeySurroundings &Around,
                     Instant Now) {
  KeyActions Actions;
  if (!State.TableKnown_)
    return Actions;
  dropLateGrants(State, Now);
  addShowing(State, Actions, Now);
  updateTakeovers(State, Around, Actions, Now);
  startMoves(State, Around, Now);
  syncHolds(State);
  advanceMoves(State, Actions, Now);
  addAppend(State, Around, Actions, Now);
  addGrants(State, Actions, Now);
  return Actions;
}

void onShown(KeyDuty &State, std::uint64_t Epoch, AppendReply::Kind Result,
             Instant SentAt, Instant Now) {
  if (Epoch != State.Epoch_)
    return;
  State.Showing_ = false;
  switch (Result) {
  case AppendReply::Kind::Done:
    State.Shown_ = true;
    State.EpochStep_ = 1;
    State.LeaseUntil_ =
        std::max(State.LeaseUntil_, SentAt + State.Options_.Lease_);
    State.ShowAt_ = SentAt + State.Options_.ShowEvery_;
    return;
  case AppendReply::Kind::Fenced:
    // What is held under the old epoch stays held until its lease ends; the
    // rows are rewritten with the new one.
    State.Epoch_ += State.EpochStep_;
    State.EpochStep_ = std::min(State.EpochStep_ * 2, MaxEpochStep);
    State.Shown_ = false;
    State.ShowAt_ = Now;
    syncHolds(State);
    return;
  default:
    State.ShowAt_ = Now + State.Options_.ShowAgain_;
    return;
  }
}

void onTakeoverShown(KeyDuty &State, const std::string &Host,
                     std::uint64_t Epoch, AppendReply::Kind Result,
                     Instant Now) {
  const auto Found = State.Takeovers_.find(Host);
  if (Found == State.Takeovers_.end() || Found->second.Epoch_ != Epoch)
    return;
  Takeover &Attempt = Found->second;
  Attempt.Asking_ = false;
  if (Result == AppendReply::Kind::Done) {
    Attempt.ShownAt_ = Now;
    return;
  }
  Attempt.AskAt_ = Now + State.Options_.ShowAgain_;
  if (Result == AppendReply::Kind::Fenced) {
    Attempt.Epoch_ += Attempt.Step_;
    Attempt.Step_ = std::min(Attempt.Step_ * 2, MaxEpochStep);
  }
}

void onAppended(KeyDuty &State, std::uint64_t Number, const AppendReply &Reply,
                Instant Now) {
  if (!State.Append_ || State.Append_->Number_ != Number)
    return;
  switch (Reply.Kind_) {
  case AppendReply::Kind::Done:
    State.Table_ = State.Append_->Table_;
    State.Table_.At_ = Reply.Offset_;
    State.End_ = std::max(State.End_, Reply.Offset_ + 1);
    State.Append_.reset();
    State.Conflicts_ = 0;
    syncHolds(State);
    return;
  case AppendReply::Kind::Conflict:
    State.End_ = std::max(State.End_, Reply.End_);
    State.Append_.reset();
    State.AppendAt_ = Now + conflictPause(State);
    ++State.Conflicts_;
    return;
  case AppendReply::Kind::Refused:
  case AppendReply::Kind::Fenced:
  case AppendReply::Kind::Unknown:
    State.Append_->Unclear_ = true;
    State.AppendAt_ = Now + State.Options_.AppendAgain_;
    return;
  }
}

void onGranted(KeyDuty &State, const KeyRow &Row, GrantResult Result,
               Instant SentAt, Duration Hold, Instant Now) {
  const auto InFlight = std::find(State.GrantsInFlight_.begin(),
                                  State.GrantsInFlight_.end(), Row);
  if (InFlight != State.GrantsInFlight_.end())
    State.GrantsInFlight_.erase(InFlight);
  const Instant LatestEnd = Now + withDrift(State, Hold);
  if (Result == GrantResult::Unknown)
    State.LateGrants_.push_back({Row.Range_, LatestEnd});
  const auto Found = State.Held_.find(Row.Range_.First_);
  const bool Known = Found != State.Held_.end() &&
                     Found->second.Row_.Range_ == Row.Range_ &&
                     Found->second.Row_.Fence_ == Row.Fence_;
  if (!Known) {
    if (Result == GrantResult::Granted)
      State.LateGrants_.push_back({Row.Range_, LatestEnd});
    return;
  }
  HeldKeys &Keys = Found->second;
  Keys.InFlight_ = false;
  Keys.MayHoldUntil_ = std::max(Keys.MayHoldUntil_, LatestEnd);
  if (Result != GrantResult::Granted) {
    Keys.RenewAt_ = Now + State.Options_.AppendAgain_;
    return;
  }
  Keys.Granted_ = true;
  Keys.SureUntil_ = SentAt + Hold;
  Keys.RenewAt_ = SentAt + State.Options_.GrantEvery_;
}

void onReleased(KeyDuty &State, const KeyRow &Row,
                const std::optional<std::string> &Handover, Instant Now) {
  for (KeyMove &Move : State.Moves_) {
    if (Move.Range_ != Row.Range_ || Move.Fence_ != Row.Fence_ ||
        Move.Phase_ != KeyMove::Phase::Releasing)
      continue;
    Move.Phase_ = KeyMove::Phase::Released;
    Move.Handover_ = Handover.value_or("");
    Move.SafeAt_ = Handover ? lateGrantsEnd(State, Move.Range_)
                            : holdsEnd(State, Move.Range_);
  }
  static_cast<void>(Now);
}

void onUpstream(KeyDuty &State, const OwnUpstream &Upstream) {
  State.Upstream_ = Upstream;
  syncHolds(State);
}

bool servesKey(const KeyDuty &State, KeyId Key, Instant Now) {
  if (Now >= State.LeaseUntil_ || isMoving(State, {Key, Key}))
    return false;
  const auto After = State.Held_.upper_bound(Key);
  if (After == State.Held_.begin())
    return false;
  const HeldKeys &Keys = std::prev(After)->second;
  return contains(Keys.Row_.Range_, Key) && Keys.Granted_ &&
         Now < Keys.SureUntil_;
}

bool settlesKey(const KeyDuty &State, KeyId Key) {
  const KeyRow *Row = findRow(State.Table_, Key);
  return Row != nullptr && Row->Owner_.Host_ == State.Host_;
}

} // namespace lagoonhitch

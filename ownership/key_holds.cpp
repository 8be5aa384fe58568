#include "ownership/key_holds.h"

#include <algorithm>
#include <set>

namespace lagoonhitch {

namespace {

/// Returns the rows that the upstream should hold, split where moves start and
/// end.
std::vector<KeyRow> rowsToHold(const KeyOwnershipState &State) {
  if (!isUpstreamAlive(State))
    return {};
  const KeyOwner Local = localOwner(State);
  KeyTable Split;
  for (const KeyRow &Row : State.Table_.Rows_)
    if (Row.Owner_ == Local)
      Split.Rows_.push_back(Row);
  for (const KeyMove &Move : State.Moves_) {
    const KeyRow *Row = findRow(Split, Move.Range_.First_);
    if (Row == nullptr)
      continue;
    KeyRow Piece = *Row;
    Piece.Range_ = Move.Range_;
    assignKeys(Split, Piece);
  }
  return std::move(Split.Rows_);
}

/// Updates HeldKeys_ to match the table. Holds with an unchanged fencing token
/// are kept. Rows with tokens of earlier eras of the store don't start new
/// ones.
void syncHeldKeys(KeyOwnershipState &State) {
  std::map<KeyId, HeldKeys> Next;
  std::set<KeyId> Kept;
  for (const KeyRow &Piece : rowsToHold(State)) {
    HeldKeys Keys;
    Keys.Row_ = Piece;
    bool Found = eraOf(Piece.Fence_) == State.Era_;
    for (const auto &[First, Old] : State.HeldKeys_) {
      const bool Same = Old.Row_.Fence_ == Piece.Fence_ &&
                        sameIncarnation(Old.Row_.Owner_, Piece.Owner_) &&
                        Old.Row_.Range_.First_ <= Piece.Range_.First_ &&
                        Piece.Range_.Last_ <= Old.Row_.Range_.Last_;
      if (!Same)
        continue;
      Kept.insert(First);
      Found = true;
      Keys = Old;
      // The result of a grant of a larger range does not apply to this part.
      Keys.GrantInFlight_ =
          Old.GrantInFlight_ && Old.Row_.Range_ == Piece.Range_;
      Keys.Row_ = Piece;
    }
    if (Found)
      Next[Piece.Range_.First_] = Keys;
  }
  for (const auto &[First, Old] : State.HeldKeys_)
    if (!Kept.contains(First) && Old.MayHoldUntil_ != Instant::min())
      State.ResidualGrants_.push_back({Old.Row_.Range_, Old.MayHoldUntil_});
  State.HeldKeys_ = std::move(Next);
}

/// Removes moves of keys that this host no longer owns.
void syncMoves(KeyOwnershipState &State) {
  std::erase_if(State.Moves_, [&State](const KeyMove &Move) {
    const KeyRow *Row = findRow(State.Table_, Move.Range_.First_);
    const bool IsOwned = Row != nullptr && Row->Owner_.Host_ == State.Host_ &&
                         Row->Fence_ == Move.Fence_;
    if (!IsOwned)
      State.MoveTargets_.erase(Move.Range_.First_);
    return !IsOwned;
  });
}

} // namespace

bool hasLease(const KeyOwnershipState &State, Instant Now) {
  return State.EpochAcknowledged_ && Now < State.LeaseUntil_;
}

bool isUpstreamAlive(const KeyOwnershipState &State) {
  return State.Upstream_.State_ == LocalUpstream::State::Serving ||
         State.Upstream_.State_ == LocalUpstream::State::Draining;
}

KeyOwner localOwner(const KeyOwnershipState &State) {
  return {State.Host_, State.Upstream_.Id_, State.Upstream_.StartMillis_,
          State.Epoch_};
}

Duration withMaxDrift(const KeyOwnershipState &State, Duration Span) {
  return std::chrono::duration_cast<Duration>(
      Span * (1 + State.Options_.MaxClockDrift_));
}

bool isMoving(const KeyOwnershipState &State, const KeyRange &Range) {
  return std::any_of(
      State.Moves_.begin(), State.Moves_.end(),
      [&Range](const KeyMove &Move) { return overlaps(Move.Range_, Range); });
}

void syncHolds(KeyOwnershipState &State) {
  syncMoves(State);
  syncHeldKeys(State);
}

Instant residualGrantsEnd(const KeyOwnershipState &State,
                          const KeyRange &Range) {
  Instant End = Instant::min();
  for (const ResidualGrant &Grant : State.ResidualGrants_)
    if (overlaps(Grant.Range_, Range))
      End = std::max(End, Grant.Until_);
  return End;
}

void noteEarlierProcessKeys(KeyOwnershipState &State, Instant Now) {
  if (Now >= State.EarlierProcessGrantsEnd_)
    return;
  std::vector<KeyRange> &Known = State.EarlierProcessKeys_;
  for (const KeyRow &Row : rowsOf(State.Table_, State.Host_)) {
    const bool MayBeGranted =
        Row.Owner_.Epoch_ != State.Epoch_ || Row.Fence_ <= State.FirstTopicEnd_;
    const bool IsKnown =
        std::find(Known.begin(), Known.end(), Row.Range_) != Known.end();
    if (MayBeGranted && !IsKnown)
      Known.push_back(Row.Range_);
  }
}

Instant earlierGrantsEnd(const KeyOwnershipState &State,
                         const KeyRange &Range) {
  const std::vector<KeyRange> &Keys = State.EarlierProcessKeys_;
  const bool MayBeGranted =
      std::any_of(Keys.begin(), Keys.end(), [&Range](const KeyRange &Earlier) {
        return overlaps(Earlier, Range);
      });
  return MayBeGranted ? State.EarlierProcessGrantsEnd_ : Instant::min();
}

Instant holdsEnd(const KeyOwnershipState &State, const KeyRange &Range) {
  Instant End =
      std::max(residualGrantsEnd(State, Range), State.EarlierProcessGrantsEnd_);
  for (const auto &[First, Keys] : State.HeldKeys_)
    if (overlaps(Keys.Row_.Range_, Range))
      End = std::max(End, Keys.MayHoldUntil_);
  return End;
}

bool isGrantInFlight(const KeyOwnershipState &State, const KeyRange &Range) {
  return std::any_of(
      State.GrantsInFlight_.begin(), State.GrantsInFlight_.end(),
      [&Range](const KeyRow &Row) { return overlaps(Row.Range_, Range); });
}

bool isKeptByPendingAppend(const KeyOwnershipState &State, const KeyRow &Row) {
  if (!State.PendingAppend_)
    return true;
  const std::vector<KeyRow> &Next = State.PendingAppend_->Table_.Rows_;
  return std::all_of(Next.begin(), Next.end(), [&Row](const KeyRow &Other) {
    return !overlaps(Other.Range_, Row.Range_) ||
           (sameIncarnation(Other.Owner_, Row.Owner_) &&
            Other.Fence_ == Row.Fence_);
  });
}

Duration grantDuration(const KeyOwnershipState &State, Instant Now) {
  const Duration Remaining =
      std::chrono::duration_cast<Duration>(
          (State.LeaseUntil_ - Now) * (1 - State.Options_.MaxClockDrift_)) -
      State.Options_.PauseMargin_;
  const std::chrono::milliseconds Hold =
      State.GrantMethod_ == GrantMethod::Calls ? State.Options_.Hold_
                                               : State.Options_.DeclaredHold_;
  return std::min<Duration>(Hold, Remaining);
}

bool isBeingReleased(const KeyOwnershipState &State, KeyId Key) {
  return std::any_of(State.Moves_.begin(), State.Moves_.end(),
                     [Key](const KeyMove &Move) {
                       return contains(Move.Range_, Key) &&
                              Move.Phase_ != KeyMove::Phase::Draining;
                     });
}

} // namespace lagoonhitch

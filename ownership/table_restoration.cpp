#include "ownership/table_restoration.h"

#include "ownership/key_holds.h"
#include "ownership/key_plan.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Returns whether a table has a row for all keys of a range with a fencing
/// token.
bool hasRow(const KeyTable &Table, const KeyRow &Row) {
  std::size_t Found = 0;
  for (const KeyRow &Other : Table.Rows_) {
    const bool Same = overlaps(Other.Range_, Row.Range_) &&
                      Other.Fence_ == Row.Fence_ &&
                      sameIncarnation(Other.Owner_, Row.Owner_);
    if (!Same)
      continue;
    Found += sizeOf({std::max(Other.Range_.First_, Row.Range_.First_),
                     std::min(Other.Range_.Last_, Row.Range_.Last_)});
  }
  return Found == sizeOf(Row.Range_);
}

/// Removes held keys that match; the upstream may hold them until their grants
/// end.
template <typename Predicate>
void dropHeldKeys(KeyOwnershipState &State, Predicate IsDropped) {
  std::erase_if(State.HeldKeys_, [&](const auto &Entry) {
    const HeldKeys &Keys = Entry.second;
    if (!IsDropped(Keys.Row_))
      return false;
    State.ResidualGrants_.push_back({Keys.Row_.Range_, Keys.MayHoldUntil_});
    return true;
  });
}

bool isTopicReadInEra(const KeyOwnershipState &State) {
  return eraOf(State.TopicEnd_) == State.Era_;
}

/// Returns whether the store has no table in the present era: the copy is older
/// than the first one.
bool isTableLost(const KeyOwnershipState &State) {
  return State.Table_.Offset_ && isTopicReadInEra(State) &&
         indexOf(State.TopicEnd_) == 0;
}

} // namespace

void onStoreEra(KeyOwnershipState &State, StoreEra Era, Instant Now) {
  if (Era <= State.Era_)
    return;
  State.Era_ = Era;
  State.EraSince_ = Now;
  const bool HadLease = hasLease(State, Now);
  // An append without a known result may have taken effect before.
  dropHeldKeys(State, [&](const KeyRow &Row) {
    return !HadLease || !isKeptByPendingAppend(State, Row);
  });
  State.PendingAppend_.reset();
  State.NextTableAppendAt_ = Instant::min();
  State.ConsecutiveConflicts_ = 0;
  // The store may have forgotten epochs that it has acknowledged.
  State.Takeovers_.clear();
  std::erase_if(State.Moves_, [&State](const KeyMove &Move) {
    const bool NotStarted = Move.Phase_ == KeyMove::Phase::Draining;
    if (NotStarted)
      State.MoveTargets_.erase(Move.Range_.First_);
    return NotStarted;
  });
}

void applyReadTable(KeyOwnershipState &State, const KeyTable &Table) {
  const bool Outdated =
      areRowsValid(State) && State.Table_.Offset_ && !isOfItsEra(Table);
  if (Outdated)
    // An append that was planned in an earlier era and took effect late.
    State.Table_.Offset_ = Table.Offset_;
  else
    State.Table_ = updatedTable(State.Table_, Table);
  State.StoredTableEra_ = Table.Era_;
  syncHolds(State);
  State.StoreLacksHeldRows_ =
      std::any_of(State.HeldKeys_.begin(), State.HeldKeys_.end(),
                  [&Table](const auto &Entry) {
                    return !hasRow(Table, Entry.second.Row_);
                  });
}

bool areRowsValid(const KeyOwnershipState &State) {
  return !State.Table_.Offset_ || State.Table_.Era_ == State.Era_;
}

bool mayRenewLease(const KeyOwnershipState &State) {
  if (!isTopicReadInEra(State))
    return false;
  const bool LacksHeldRows =
      isTableLost(State) ? !State.HeldKeys_.empty() : State.StoreLacksHeldRows_;
  return !LacksHeldRows;
}

void dropHoldsWithoutLease(KeyOwnershipState &State, Instant Now) {
  if (areRowsValid(State) || mayRenewLease(State) || hasLease(State, Now))
    return;
  dropHeldKeys(State, [](const KeyRow &) { return true; });
}

bool holdsRow(const KeyOwnershipState &State, const KeyRow &Row) {
  std::size_t Held = 0;
  for (const auto &[First, Keys] : State.HeldKeys_)
    if (Keys.Row_.Fence_ == Row.Fence_ &&
        overlaps(Keys.Row_.Range_, Row.Range_))
      Held += sizeOf(Keys.Row_.Range_);
  return Held >= sizeOf(Row.Range_);
}

bool haveEarlierLeasesEnded(const KeyOwnershipState &State, Instant Now) {
  return Now >= State.EraSince_ + withMaxDrift(State, State.Options_.Lease_) +
                    State.Options_.PauseMargin_;
}

std::optional<KeyTable> planRestoredTable(const KeyOwnershipState &State,
                                          const KeyOwnershipInputs &Inputs,
                                          Instant Now) {
  const Duration RankDelay =
      State.Options_.RankDelay_ * static_cast<int>(rankOf(State, Inputs));
  const bool LeasesEnded = haveEarlierLeasesEnded(State, Now - RankDelay);
  const bool RowsMissing = !mayRenewLease(State);
  if (!LeasesEnded && !RowsMissing)
    return std::nullopt;
  KeyTable Next = State.Table_;
  if (LeasesEnded)
    Next.Era_ = State.Era_;
  mergeRows(Next);
  return Next;
}

} // namespace lagoonhitch

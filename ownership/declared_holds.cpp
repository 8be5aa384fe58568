#include "ownership/declared_holds.h"

#include "ownership/key_holds.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

/// Maximum number of rows in a declaration: the platform limits the size of a
/// reply to a heartbeat to 4 KiB.
constexpr std::size_t MaxDeclaredRows = 64;
/// Number of reports that may lack declared keys because the reply was lost.
constexpr std::uint32_t MaxMissingReports = 1;

/// Returns when a declaration can no longer be accepted by the upstream, unless
/// it has been already.
Instant acceptanceEnd(const KeyOwnershipState &State, Instant ReceivedAt) {
  return ReceivedAt + withMaxDrift(State, State.Options_.AcknowledgementTime_);
}

bool reportsHold(const HoldReport &Report, const KeyRange &Range) {
  return std::any_of(Report.Holds_.begin(), Report.Holds_.end(),
                     [&Range](const ReportedHold &Hold) {
                       return overlaps(Hold.Range_, Range);
                     });
}

/// Returns whether the upstream reports to hold all keys of a row with the
/// row's fencing token.
bool reportsRow(const HoldReport &Report, const KeyRow &Row) {
  std::uint32_t Covered = 0;
  for (const ReportedHold &Hold : Report.Holds_)
    if (Hold.Fence_ == Row.Fence_ && overlaps(Hold.Range_, Row.Range_))
      Covered += sizeOf(intersection(Hold.Range_, Row.Range_));
  return Covered >= sizeOf(Row.Range_);
}

/// Adds the handovers of released keys to the moves that wait for them.
void collectHandovers(KeyOwnershipState &State, const HoldReport &Report) {
  for (KeyMove &Move : State.Moves_) {
    if (Move.Phase_ != KeyMove::Phase::Releasing)
      continue;
    for (const ReportedRelease &Release : Report.Releases_) {
      if (!overlaps(Release.Range_, Move.Range_))
        continue;
      const KeyRange Part = intersection(Release.Range_, Move.Range_);
      const bool Known = std::any_of(
          Move.ReleasedParts_.begin(), Move.ReleasedParts_.end(),
          [&Part](const auto &Other) { return overlaps(Other.Range_, Part); });
      if (!Known)
        Move.ReleasedParts_.push_back({Part, Release.Handover_});
    }
  }
}

KeyMove partOfMove(const KeyMove &Move, const KeyRange &Range,
                   const std::string &Handover) {
  KeyMove Part = Move;
  Part.Range_ = Range;
  Part.Handover_ = Handover;
  Part.ReleasedParts_.clear();
  return Part;
}

/// Splits a completed move into the parts that have a common handover each.
std::vector<KeyMove> splitByHandover(const KeyMove &Move) {
  std::vector<ReportedRelease> Parts = Move.ReleasedParts_;
  std::sort(Parts.begin(), Parts.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Range_ < Right.Range_;
            });
  std::vector<KeyMove> Result;
  KeyId Next = Move.Range_.First_;
  for (const ReportedRelease &Part : Parts) {
    if (Next < Part.Range_.First_)
      Result.push_back(partOfMove(Move, {Next, Part.Range_.First_ - 1}, ""));
    Result.push_back(partOfMove(Move, Part.Range_, Part.Handover_));
    Next = Part.Range_.Last_ + 1;
  }
  if (Next <= Move.Range_.Last_)
    Result.push_back(partOfMove(Move, {Next, Move.Range_.Last_}, ""));
  return Result;
}

/// Returns when the last declaration of some of these keys can no longer be
/// accepted. Reports of before a reply by an earlier process of this daemon
/// can't be told from later ones, so its keys may be held until they expire.
Instant lastAcceptanceEnd(const KeyOwnershipState &State,
                          const KeyRange &Range) {
  Instant End =
      std::max(residualGrantsEnd(State, Range), earlierGrantsEnd(State, Range));
  for (const auto &[First, Keys] : State.HeldKeys_)
    if (overlaps(Keys.Row_.Range_, Range) && Keys.DeclaredAt_)
      End = std::max(End, acceptanceEnd(State, *Keys.DeclaredAt_));
  return End;
}

/// Marks a move as released from SafeAt on, in parts if the upstream returned
/// several handovers.
void completeRelease(KeyOwnershipState &State, const KeyMove &Move,
                     Instant SafeAt, std::vector<KeyMove> &Next) {
  const std::string Target = State.MoveTargets_.at(Move.Range_.First_);
  for (KeyMove Part : splitByHandover(Move)) {
    Part.Phase_ = KeyMove::Phase::Released;
    Part.SafeAt_ = SafeAt;
    State.MoveTargets_[Part.Range_.First_] = Target;
    Next.push_back(std::move(Part));
  }
}

void completeReleases(KeyOwnershipState &State, const HoldReport &Report) {
  std::vector<KeyMove> Next;
  for (const KeyMove &Move : State.Moves_) {
    const bool Completed = Move.Phase_ == KeyMove::Phase::Releasing &&
                           !reportsHold(Report, Move.Range_);
    if (!Completed) {
      Next.push_back(Move);
      continue;
    }
    completeRelease(State, Move, lastAcceptanceEnd(State, Move.Range_), Next);
  }
  State.Moves_ = std::move(Next);
}

/// Returns whether the upstream does not accept declared keys, for example
/// because it has seen a higher fencing token.
bool isRejected(const HeldKeys &Keys) {
  return Keys.MissingReports_ > MaxMissingReports;
}

/// Compares what was declared with what the upstream holds.
void checkAcceptance(KeyOwnershipState &State, const HoldReport &Report) {
  for (auto &[First, Keys] : State.HeldKeys_) {
    Keys.Accepted_ = reportsRow(Report, Keys.Row_);
    if (Keys.Accepted_)
      Keys.MissingReports_ = 0;
    else if (Keys.DeclaredAt_)
      ++Keys.MissingReports_;
    Keys.Granted_ = Keys.Granted_ && !isRejected(Keys);
  }
}

bool isDeclarable(const KeyOwnershipState &State, const HeldKeys &Keys) {
  return !isMoving(State, Keys.Row_.Range_) &&
         isKeptByPendingAppend(State, Keys.Row_);
}

/// Returns whether the table names the upstream with another epoch of this
/// host. Its rows get the current epoch with the next table.
bool hasRowsOfOtherEpochs(const KeyOwnershipState &State) {
  const KeyOwner Local = localOwner(State);
  return std::any_of(State.Table_.Rows_.begin(), State.Table_.Rows_.end(),
                     [&Local](const KeyRow &Row) {
                       return sameIncarnation(Row.Owner_, Local) &&
                              Row.Owner_.Epoch_ != Local.Epoch_;
                     });
}

bool canDeclare(const KeyOwnershipState &State, Instant Now) {
  return State.TopicRead_ && hasLease(State, Now) && isUpstreamAlive(State) &&
         !hasRowsOfOtherEpochs(State) &&
         grantDuration(State, Now) >= State.Options_.PauseMargin_;
}

void startReleases(KeyOwnershipState &State) {
  for (KeyMove &Move : State.Moves_) {
    if (Move.Phase_ == KeyMove::Phase::Draining &&
        !isGrantInFlight(State, Move.Range_))
      Move.Phase_ = KeyMove::Phase::Releasing;
  }
}

} // namespace

void onHoldReport(KeyOwnershipState &State, const HoldReport &Report) {
  collectHandovers(State, Report);
  completeReleases(State, Report);
  checkAcceptance(State, Report);
}

std::optional<HoldDeclaration> declareHolds(KeyOwnershipState &State,
                                            Instant ReceivedAt, Instant Now) {
  if (!canDeclare(State, Now))
    return std::nullopt;
  HoldDeclaration Declaration;
  Declaration.Hold_ = grantDuration(State, Now);
  startReleases(State);
  for (auto &[First, Keys] : State.HeldKeys_) {
    if (!isDeclarable(State, Keys) ||
        Declaration.Rows_.size() == MaxDeclaredRows)
      continue;
    Keys.DeclaredAt_ = ReceivedAt;
    Keys.Granted_ = !isRejected(Keys);
    Keys.GuaranteedUntil_ = ReceivedAt + Declaration.Hold_;
    Keys.MayHoldUntil_ =
        std::max(Keys.MayHoldUntil_,
                 ReceivedAt + withMaxDrift(State, Declaration.Hold_));
    Declaration.Rows_.push_back(Keys.Row_);
    if (Keys.Accepted_)
      Declaration.Rows_.back().Handover_.clear();
  }
  return Declaration;
}

bool needsDeclaration(const KeyOwnershipState &State, Instant Now) {
  if (!canDeclare(State, Now))
    return false;
  const bool Grants =
      std::any_of(State.HeldKeys_.begin(), State.HeldKeys_.end(),
                  [&State](const auto &Entry) {
                    return !Entry.second.Granted_ &&
                           !isRejected(Entry.second) &&
                           isDeclarable(State, Entry.second);
                  });
  const bool Releases = std::any_of(
      State.Moves_.begin(), State.Moves_.end(), [](const KeyMove &Move) {
        return Move.Phase_ == KeyMove::Phase::Draining;
      });
  return Grants || Releases;
}

void expireDeclaredHolds(KeyOwnershipState &State, Instant Now) {
  std::vector<KeyMove> Next;
  for (const KeyMove &Move : State.Moves_) {
    const bool Expired = Move.Phase_ == KeyMove::Phase::Releasing &&
                         Now >= holdsEnd(State, Move.Range_);
    if (!Expired) {
      Next.push_back(Move);
      continue;
    }
    completeRelease(State, Move, Now, Next);
  }
  State.Moves_ = std::move(Next);
}

} // namespace lagoonhitch

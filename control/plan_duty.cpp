#include "control/plan_duty.h"

#include "control/outbox.h"
#include "membership/seat_planner.h"

namespace lagoonhitch {

namespace {

/// Returns how many members plan before this one.
std::int64_t planRank(const ControlState &State) {
  std::int64_t Rank = 0;
  for (const auto &[Id, One] : tableOf(State).Members_) {
    if (Id >= State.Self_)
      break;
    if (!One.Draining_)
      ++Rank;
  }
  return Rank;
}

Record::Plan makePlan(const ControlState &State) {
  PlanOptions Options = State.Options_.Plan_;
  Options.AllowUnsettled_ = tableOf(State).Members_.size() == 1;
  Record::Plan Plan = planShards(tableOf(State), Options);
  Plan.Seats_ = planSeats(tableOf(State));
  return Plan;
}

bool isEmpty(const Record::Plan &Plan) {
  return Plan.Defines_.empty() && Plan.Moves_.empty() && Plan.Seats_.empty();
}

void trackVersion(ControlState &State, Instant Now) {
  if (State.SeenPlanVersion_ == tableOf(State).PlanVersion_)
    return;
  State.SeenPlanVersion_ = tableOf(State).PlanVersion_;
  State.PlanVersionSince_ = Now;
}

void evictUnsettled(ControlState &State, Instant Now, ControlActions &Actions) {
  std::map<MemberId, Instant> Unsettled;
  for (const auto &[Id, One] : tableOf(State).Members_) {
    if (isSettled(One) || Id == State.Self_ || holdsShards(tableOf(State), Id))
      continue;
    const auto Known = State.UnsettledSince_.find(Id);
    Unsettled[Id] = Known == State.UnsettledSince_.end() ? Now : Known->second;
  }
  State.UnsettledSince_ = std::move(Unsettled);
  for (const auto &[Id, Since] : State.UnsettledSince_)
    if (Now - Since > State.Options_.EvictAfter_ &&
        !isAppending<Record::Evict>(State))
      appendRecord(State, Record::Evict{Id}, "never settled", Now, Actions);
}

void checkpointIfDue(ControlState &State, Instant Now,
                     ControlActions &Actions) {
  const Table &Current = tableOf(State);
  const bool ManyRecords =
      Current.Next_ >= State.LastCheckpoint_ + State.Options_.CheckpointEvery_;
  const bool LongAgo =
      Now - State.LastCheckpointAt_ > State.Options_.CheckpointInterval_;
  if (!ManyRecords && !LongAgo)
    return;
  if (isAppending<Record::Checkpoint>(State))
    return;
  State.LastCheckpointAt_ = Now;
  appendRecord(State, Record::Checkpoint{Current}, "checkpoint", Now, Actions);
}

} // namespace

void planIfDue(ControlState &State, Instant Now, ControlActions &Actions) {
  trackVersion(State, Now);
  const Member *Self = selfOf(State);
  if (Self == nullptr || !State.Reader_.Synced_ || Self->Draining_)
    return;
  const std::int64_t Rank = planRank(State);
  if (Now - State.PlanVersionSince_ < State.Options_.PlanStagger_ * Rank)
    return;
  if (Rank == 0) {
    evictUnsettled(State, Now, Actions);
    checkpointIfDue(State, Now, Actions);
  }
  const bool Alone = tableOf(State).Members_.size() == 1;
  if (Alone && Now - State.JoinedAt_ < State.Options_.AloneAfter_)
    return;
  if (State.PlannedVersion_ == tableOf(State).PlanVersion_ ||
      (State.LastPlanAt_ != Instant::min() &&
       Now - State.LastPlanAt_ < State.Options_.PlanEvery_))
    return;
  State.PlannedVersion_ = tableOf(State).PlanVersion_;
  State.LastPlanAt_ = Now;
  Record::Plan Plan = makePlan(State);
  if (!isEmpty(Plan))
    appendRecord(State, std::move(Plan), "owners and seats", Now, Actions);
}

} // namespace lagoonhitch

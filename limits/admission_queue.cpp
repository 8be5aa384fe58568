#include "limits/admission_queue.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

double secondsOf(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

void fillTokens(DoorQueue &State, Instant Now) {
  if (State.ColdFilledAt_ < Now && State.ColdFilledAt_ != Instant::min())
    State.ColdTokens_ =
        std::min(State.Options_.ColdBurst_,
                 State.ColdTokens_ + secondsOf(Now - State.ColdFilledAt_) *
                                         State.ColdPerSecond_);
  State.ColdFilledAt_ = Now;
}

bool hasRoom(DoorQueue &State, Instant Now) {
  if (State.Running_ >= State.Slots_ || Now < State.PausedUntil_)
    return false;
  if (!isCold(State, Now))
    return true;
  fillTokens(State, Now);
  return State.ColdTokens_ >= 1;
}

void start(DoorQueue &State, Instant Now) {
  ++State.Running_;
  if (isCold(State, Now))
    State.ColdTokens_ -= 1;
}

/// The longest wait that leaves the request some value.
Duration patienceOf(const DoorQueue &State, const DoorTicket &Ticket,
                    Instant Now) {
  const Duration Work = workOf(State, Ticket);
  const Duration Last = Ticket.Deadline_ - Now - Work;
  if (Ticket.Limit_ < State.Options_.ShortLimit_)
    return Last;
  const Duration InTime = Ticket.ObjectiveAt_ - Now - Work;
  const Duration Late = std::chrono::duration_cast<Duration>(
      Ticket.Objective_ * State.Options_.LateWaitPart_);
  return std::min(std::max(InTime, Late), Last);
}

DoorOrder orderOf(const DoorTicket &Ticket) {
  return {Ticket.Rank_, Ticket.ObjectiveAt_, Ticket.Number_};
}

void learn(Duration &Usual, Duration Seen, double Weight) {
  Usual = std::chrono::duration_cast<Duration>(Usual * (1 - Weight) +
                                               Seen * Weight);
}

/// Returns when a request that is refused is to come back, and keeps its place
/// among those who were told so. None is told more than its own limit.
Duration comeBackAfter(DoorQueue &State, const DoorTicket &Ticket,
                       Duration Wait, Instant Now) {
  const Instant Room = std::max(State.PromisedUntil_, Now + Wait);
  const Instant Back = std::min(Room, Now + std::max(Ticket.Limit_, Wait));
  const std::uint32_t Slots = std::max<std::uint32_t>(State.Slots_, 1);
  if (!Ticket.RefusedBefore_)
    State.PromisedUntil_ = Back + workOf(State, Ticket) / Slots;
  return Back - Now;
}

} // namespace

void resetDoor(DoorQueue &State, std::uint32_t Slots) {
  State.Slots_ = Slots;
  State.Work_ = State.Options_.FirstWork_;
  State.WorkOfKind_.clear();
  State.ColdUntil_ = Instant::min();
  State.PausedUntil_ = Instant::min();
  State.PromisedUntil_ = Instant::min();
}

void setCold(DoorQueue &State, Instant Until, double PerSecond, Instant Now) {
  if (PerSecond <= 0) {
    State.ColdUntil_ = Instant::min();
    return;
  }
  if (!isCold(State, Now)) {
    State.ColdTokens_ = 1;
    State.ColdFilledAt_ = Now;
  }
  State.ColdUntil_ = Until;
  State.ColdPerSecond_ = PerSecond;
}

bool isCold(const DoorQueue &State, Instant Now) {
  return Now < State.ColdUntil_;
}

DoorVerdict offer(DoorQueue &State, const DoorTicket &Ticket, Instant Now) {
  const bool First =
      State.Waiting_.empty() || orderOf(Ticket) < State.Waiting_.begin()->first;
  if (First && hasRoom(State, Now)) {
    start(State, Now);
    // There is room, so those who are to come back are fewer than was thought.
    State.PromisedUntil_ = Now;
    return {DoorVerdict::Kind::Start, {}};
  }
  const Duration Wait = expectedWait(State, Ticket, Now);
  if (Wait > patienceOf(State, Ticket, Now) ||
      State.Waiting_.size() >= State.Options_.MaxWaiting_)
    return {DoorVerdict::Kind::Refuse, comeBackAfter(State, Ticket, Wait, Now)};
  State.Waiting_[orderOf(Ticket)] = Ticket;
  return {DoorVerdict::Kind::Wait, Wait};
}

void finish(DoorQueue &State, const DoorTicket &Ticket,
            std::optional<Duration> Work) {
  --State.Running_;
  if (!Work)
    return;
  learn(State.Work_, *Work, State.Options_.WorkWeight_);
  const auto [Kind, Added] =
      State.WorkOfKind_.try_emplace(Ticket.Objective_, *Work);
  if (!Added)
    learn(Kind->second, *Work, State.Options_.WorkWeight_);
}

Duration workOf(const DoorQueue &State, const DoorTicket &Ticket) {
  const auto Kind = State.WorkOfKind_.find(Ticket.Objective_);
  return Kind == State.WorkOfKind_.end()
             ? std::min(State.Work_, Ticket.Objective_ / 2)
             : Kind->second;
}

bool withdraw(DoorQueue &State, const DoorTicket &Ticket) {
  return State.Waiting_.erase(orderOf(Ticket)) > 0;
}

DoorChange advance(DoorQueue &State, Instant Now) {
  DoorChange Change;
  std::erase_if(State.Waiting_, [&](const auto &Entry) {
    if (Entry.second.Deadline_ - Now > workOf(State, Entry.second) / 2)
      return false;
    Change.Dropped_.push_back(Entry.second);
    return true;
  });
  while (!State.Waiting_.empty() && hasRoom(State, Now)) {
    const auto First = State.Waiting_.begin();
    Change.Started_.push_back(First->second);
    State.Waiting_.erase(First);
    start(State, Now);
  }
  return Change;
}

Duration expectedWait(const DoorQueue &State, const DoorTicket &Ticket,
                      Instant Now) {
  const DoorOrder Order = orderOf(Ticket);
  double Ahead = 0;
  // Someone who runs must end first.
  Duration Work = State.Work_;
  for (const auto &[Other, Waiting] : State.Waiting_) {
    if (Order < Other)
      break;
    Ahead += 1;
    Work += workOf(State, Waiting);
  }
  const double Slots = std::max<double>(State.Slots_, 1);
  double Seconds = secondsOf(Work) / Slots;
  if (isCold(State, Now))
    Seconds = std::max(Seconds,
                       (Ahead + 1 - State.ColdTokens_) / State.ColdPerSecond_);
  return fromSeconds(Seconds);
}

std::optional<Duration> nextColdStart(const DoorQueue &State, Instant Now) {
  if (State.Waiting_.empty() || !isCold(State, Now) ||
      State.Running_ >= State.Slots_)
    return std::nullopt;
  const double Missing = std::max(0.0, 1 - State.ColdTokens_);
  return fromSeconds(Missing / State.ColdPerSecond_);
}

} // namespace lagoonhitch

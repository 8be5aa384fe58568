#include "limits/admission_queue.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

bool hasCapacity(AdmissionQueue &State, Instant Now) {
  if (State.Running_ >= State.Slots_ || Now < State.PausedUntil_)
    return false;
  if (!isCold(State, Now))
    return true;
  refillTokens(State.ColdTokens_, Now);
  return State.ColdTokens_.Tokens_ >= 1;
}

void startRequest(AdmissionQueue &State, Instant Now) {
  ++State.Running_;
  if (isCold(State, Now))
    State.ColdTokens_.Tokens_ -= 1;
}

/// Returns the time until the rate limit allows a number of requests.
Duration rateLimitWait(const AdmissionQueue &State, double Requests,
                       Instant Now) {
  return isCold(State, Now) ? timeToTokens(State.ColdTokens_, Requests, Now)
                            : Duration::zero();
}

/// Returns the longest time that a request may wait and still be worth running.
Duration maxWaitOf(const AdmissionQueue &State, const QueuedRequest &Request,
                   Instant Now) {
  const Duration ProcessingTime = expectedProcessingTime(State, Request);
  const Duration BeforeDeadline = Request.Deadline_ - Now - ProcessingTime;
  if (Request.Timeout_ < State.Options_.MinRetryableTimeout_)
    return BeforeDeadline;
  const Duration BeforeObjective = Request.ObjectiveAt_ - Now - ProcessingTime;
  const Duration AfterObjective = std::chrono::duration_cast<Duration>(
      Request.Objective_ * State.Options_.LateWaitFraction_);
  return std::min(std::max(BeforeObjective, AfterObjective), BeforeDeadline);
}

QueueOrder orderOf(const QueuedRequest &Request) {
  return {Request.Rank_, Request.ObjectiveAt_, Request.Number_};
}

void updateAverage(Duration &Average, Duration Sample, double Weight) {
  Average = std::chrono::duration_cast<Duration>(Average * (1 - Weight) +
                                                 Sample * Weight);
}

/// Returns the time after which a rejected request should be retried, and
/// reserves capacity for the retry. The time is at most the request's own
/// timeout, unless the expected wait is longer.
Duration retryAfter(AdmissionQueue &State, const QueuedRequest &Request,
                    Duration Wait, Instant Now) {
  const Instant CapacityAt = std::max(State.ReservedUntil_, Now + Wait);
  const Instant RetryAt =
      std::min(CapacityAt, Now + std::max(Request.Timeout_, Wait));
  const std::uint32_t Slots = std::max<std::uint32_t>(State.Slots_, 1);
  if (!Request.RejectedBefore_)
    State.ReservedUntil_ =
        RetryAt + expectedProcessingTime(State, Request) / Slots;
  return RetryAt - Now;
}

} // namespace

void resetForUpstream(AdmissionQueue &State, std::uint32_t Slots) {
  State.Slots_ = Slots;
  State.ProcessingTime_ = State.Options_.InitialProcessingTime_;
  State.ProcessingTimeByObjective_.clear();
  State.ColdUntil_ = Instant::min();
  State.PausedUntil_ = Instant::min();
  State.ReservedUntil_ = Instant::min();
}

void setCold(AdmissionQueue &State, Instant Until, double PerSecond,
             Instant Now) {
  if (PerSecond <= 0) {
    State.ColdUntil_ = Instant::min();
    return;
  }
  if (!isCold(State, Now))
    State.ColdTokens_ = {PerSecond, State.Options_.ColdBurst_, 1, Now};
  State.ColdUntil_ = Until;
  State.ColdTokens_.PerSecond_ = PerSecond;
}

bool isCold(const AdmissionQueue &State, Instant Now) {
  return Now < State.ColdUntil_;
}

AdmissionDecision submitRequest(AdmissionQueue &State,
                                const QueuedRequest &Request, Instant Now) {
  const bool First = State.Waiting_.empty() ||
                     orderOf(Request) < State.Waiting_.begin()->first;
  if (First && hasCapacity(State, Now)) {
    startRequest(State, Now);
    // Capacity is free, so fewer rejected requests are retried than it was
    // reserved for: the reservation is dropped.
    State.ReservedUntil_ = Now;
    return {AdmissionDecision::Kind::Start, {}};
  }
  const Duration Wait = expectedWait(State, Request, Now);
  if (Wait > maxWaitOf(State, Request, Now) ||
      State.Waiting_.size() >= State.Options_.MaxWaiting_)
    return {AdmissionDecision::Kind::Reject,
            retryAfter(State, Request, Wait, Now)};
  State.Waiting_[orderOf(Request)] = Request;
  return {AdmissionDecision::Kind::Wait, Wait};
}

void finishRequest(AdmissionQueue &State, const QueuedRequest &Request,
                   std::optional<Duration> ProcessingTime) {
  --State.Running_;
  if (!ProcessingTime)
    return;
  updateAverage(State.ProcessingTime_, *ProcessingTime,
                State.Options_.ProcessingTimeWeight_);
  const auto [Entry, Added] = State.ProcessingTimeByObjective_.try_emplace(
      Request.Objective_, *ProcessingTime);
  if (!Added)
    updateAverage(Entry->second, *ProcessingTime,
                  State.Options_.ProcessingTimeWeight_);
}

Duration expectedProcessingTime(const AdmissionQueue &State,
                                const QueuedRequest &Request) {
  const auto Found = State.ProcessingTimeByObjective_.find(Request.Objective_);
  return Found == State.ProcessingTimeByObjective_.end()
             ? std::min(State.ProcessingTime_, Request.Objective_ / 2)
             : Found->second;
}

bool cancelWaiting(AdmissionQueue &State, const QueuedRequest &Request) {
  return State.Waiting_.erase(orderOf(Request)) > 0;
}

DispatchResult dispatchWaiting(AdmissionQueue &State, Instant Now) {
  DispatchResult Result;
  std::erase_if(State.Waiting_, [&](const auto &Entry) {
    if (Entry.second.Deadline_ - Now >
        expectedProcessingTime(State, Entry.second) / 2)
      return false;
    Result.Dropped_.push_back(Entry.second);
    return true;
  });
  while (!State.Waiting_.empty() && hasCapacity(State, Now)) {
    const auto First = State.Waiting_.begin();
    Result.Started_.push_back(First->second);
    State.Waiting_.erase(First);
    startRequest(State, Now);
  }
  return Result;
}

Duration expectedWait(const AdmissionQueue &State, const QueuedRequest &Request,
                      Instant Now) {
  const QueueOrder Order = orderOf(Request);
  double Ahead = 0;
  // A running request must finish first.
  Duration ProcessingTime = State.ProcessingTime_;
  for (const auto &[Other, Waiting] : State.Waiting_) {
    if (Order < Other)
      break;
    Ahead += 1;
    ProcessingTime += expectedProcessingTime(State, Waiting);
  }
  const Duration SlotWait =
      ProcessingTime / std::max<std::uint32_t>(State.Slots_, 1);
  return std::max(SlotWait, rateLimitWait(State, Ahead + 1, Now));
}

std::optional<Duration> timeToNextToken(const AdmissionQueue &State,
                                        Instant Now) {
  if (State.Waiting_.empty() || !isCold(State, Now) ||
      State.Running_ >= State.Slots_)
    return std::nullopt;
  return rateLimitWait(State, 1, Now);
}

LoadReport loadReport(const AdmissionQueue &State, Instant Now) {
  LoadReport Load;
  Load.Running_ = State.Running_;
  Load.Queued_ = static_cast<std::uint32_t>(State.Waiting_.size());
  Load.Slots_ = State.Slots_;
  Load.ProcessingMillis_ =
      static_cast<std::uint32_t>(toMillis(State.ProcessingTime_).count());
  if (isCold(State, Now))
    Load.RateLimit_ = static_cast<std::uint32_t>(State.ColdTokens_.PerSecond_);
  return Load;
}

} // namespace lagoonhitch

#include "limits/admission_queue.h"

#include "limits/admission_work.h"
#include "limits/call_order.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lagoonhitch {

namespace {

/// Returns the rate limit in requests per second; std::nullopt for none.
std::optional<double> rateLimit(const AdmissionQueue &State, Instant Now) {
  std::optional<double> Limit;
  if (isCold(State, Now))
    Limit = State.ColdTokens_.PerSecond_;
  if (State.StatedTokens_)
    Limit = std::min(Limit.value_or(State.StatedTokens_->PerSecond_),
                     State.StatedTokens_->PerSecond_);
  return Limit;
}

/// Returns the time until the rate limits allow a number of requests.
Duration rateLimitWait(const AdmissionQueue &State, double Requests,
                       Instant Now) {
  Duration Wait{};
  if (isCold(State, Now))
    Wait = timeToTokens(State.ColdTokens_, Requests, Now);
  if (State.StatedTokens_)
    Wait = std::max(Wait, timeToTokens(*State.StatedTokens_, Requests, Now));
  return Wait;
}

bool hasCapacity(const AdmissionQueue &State, Instant Now) {
  return State.Running_ < State.Slots_ && Now >= State.PausedUntil_ &&
         rateLimitWait(State, 1, Now) <= Duration::zero();
}

void startRequest(AdmissionQueue &State, const QueuedRequest &Request,
                  Instant Now) {
  ++State.Running_;
  State.RunningRequests_[Request.Number_] =
      makeRunningRequest(State, Request, Now);
  noteStart(State, Request);
  chargeRateLimits(State, Now);
}

/// Waiting requests and their work.
struct RequestsAhead {
  double Requests_ = 0;
  Duration Work_{};
};

void add(RequestsAhead &Ahead, Duration Work) {
  Ahead.Requests_ += 1;
  Ahead.Work_ += Work;
}

/// Returns how long a request waits behind others.
/// \param Running the mean remaining work of a running request.
Duration waitBehind(const AdmissionQueue &State, const RequestsAhead &Ahead,
                    Duration Running, Instant Now) {
  const std::uint32_t Slots = std::max<std::uint32_t>(State.Slots_, 1);
  const bool HasSlot = State.Running_ + Ahead.Requests_ < Slots;
  // Otherwise a running request must finish first.
  const Duration SlotWait =
      HasSlot ? Duration::zero()
              : timeFor(State, (Running + Ahead.Work_) / Slots, Now);
  return std::max({SlotWait, rateLimitWait(State, Ahead.Requests_ + 1, Now),
                   std::max(State.PausedUntil_, Now) - Now});
}

/// Returns a number of milliseconds for a report.
std::uint32_t reportedMillis(Duration Span) {
  constexpr std::chrono::hours Longest{1};
  return static_cast<std::uint32_t>(
      toMillis(std::clamp<Duration>(Span, Duration::zero(), Longest)).count());
}

/// Returns a slowdown, in percent, for a report.
std::uint32_t reportedPercent(double Percent) {
  return static_cast<std::uint32_t>(std::lround(
      std::clamp<double>(Percent, MinSlowdownPercent, MaxSlowdownPercent)));
}

/// Returns the average time between two starts of such requests when the
/// upstream is fully used.
Duration startInterval(const AdmissionQueue &State,
                       const QueuedRequest &Request, Instant Now) {
  const Duration BySlots = expectedProcessingTime(State, Request, Now) /
                           std::max<std::uint32_t>(State.Slots_, 1);
  const std::optional<double> Limit = rateLimit(State, Now);
  if (!Limit)
    return BySlots;
  const std::chrono::duration<double> ByRate(1 / *Limit);
  return std::max(BySlots, std::chrono::duration_cast<Duration>(ByRate));
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
  if (!Request.RejectedBefore_)
    State.ReservedUntil_ = RetryAt + startInterval(State, Request, Now);
  return RetryAt - Now;
}

} // namespace

QueueOrder orderOf(const QueuedRequest &Request) {
  return {Request.Rank_, !Request.Chained_, Request.ObjectiveAt_,
          Request.Number_};
}

Duration longestUsefulWait(const QueuedRequest &Request,
                           Duration ProcessingTime,
                           const AdmissionQueueOptions &Options, Instant Now) {
  const Duration BeforeDeadline = Request.Deadline_ - Now - ProcessingTime;
  if (Request.Chained_ || Request.Timeout_ < Options.MinRetryableTimeout_)
    return BeforeDeadline;
  const Duration BeforeObjective = Request.ObjectiveAt_ - Now - ProcessingTime;
  const Duration AfterObjective = std::chrono::duration_cast<Duration>(
      Request.Objective_ * Options.LateWaitFraction_);
  return std::min(std::max(BeforeObjective, AfterObjective), BeforeDeadline);
}

void resetForUpstream(AdmissionQueue &State, std::uint32_t Slots) {
  State.Slots_ = Slots;
  State.ProcessingTime_ = State.Options_.InitialProcessingTime_;
  State.ProcessingTimeByObjective_.clear();
  forgetSpeed(State.Speed_);
  State.ColdUntil_ = Instant::min();
  State.PausedUntil_ = Instant::min();
  State.NextPause_ = Duration::zero();
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

void setStatedLimit(AdmissionQueue &State, std::optional<double> PerSecond,
                    Instant Now) {
  if (!PerSecond) {
    State.StatedTokens_.reset();
    return;
  }
  if (!State.StatedTokens_)
    State.StatedTokens_ = {1, State.Options_.StatedBurst_, 1, Now};
  refillTokens(*State.StatedTokens_, Now);
  State.StatedTokens_->PerSecond_ =
      std::max(*PerSecond, State.Options_.MinStatedRate_);
}

void chargeRateLimits(AdmissionQueue &State, Instant Now) {
  if (isCold(State, Now)) {
    refillTokens(State.ColdTokens_, Now);
    State.ColdTokens_.Tokens_ -= 1;
  }
  if (State.StatedTokens_) {
    refillTokens(*State.StatedTokens_, Now);
    State.StatedTokens_->Tokens_ -= 1;
  }
}

void onUpstreamOverloaded(AdmissionQueue &State, Instant Now) {
  // Several requests may be rejected for the same reason.
  if (Now < State.PausedUntil_)
    return;
  const bool RunsOthers = State.Running_ > 1;
  const Duration Pause =
      RunsOthers ? State.Options_.BaseOverloadPause_
                 : std::max<Duration>(State.NextPause_,
                                      State.Options_.BaseOverloadPause_);
  State.PausedUntil_ = Now + Pause;
  if (RunsOthers)
    return;
  State.NextPause_ =
      std::min<Duration>(Pause * 2, State.Options_.MaxOverloadPause_);
}

void onUpstreamAccepted(AdmissionQueue &State) {
  State.NextPause_ = Duration::zero();
}

bool isCold(const AdmissionQueue &State, Instant Now) {
  return Now < State.ColdUntil_;
}

AdmissionDecision submitRequest(AdmissionQueue &State,
                                const QueuedRequest &Request, Instant Now) {
  if (isHopeless(State, Request, Now))
    return {AdmissionDecision::Kind::Reject, retryAfterHopeless(Request, Now)};
  if (precedesWaiting(State, Request) && hasCapacity(State, Now)) {
    startRequest(State, Request, Now);
    // Capacity is free, so fewer rejected requests are retried than it was
    // reserved for: the reservation is dropped.
    State.ReservedUntil_ = Now;
    return {AdmissionDecision::Kind::Start, {}};
  }
  const Duration Wait = expectedWait(State, Request, Now);
  const Duration LongestWait =
      longestUsefulWait(Request, expectedProcessingTime(State, Request, Now),
                        State.Options_, Now);
  if (Wait > LongestWait || !hasPlace(State, Request))
    return {AdmissionDecision::Kind::Reject,
            retryAfter(State, Request, Wait, Now)};
  State.Waiting_[orderOf(Request)] = Request;
  return {AdmissionDecision::Kind::Wait, Wait};
}

void finishRequest(AdmissionQueue &State, const QueuedRequest &Request,
                   std::optional<Duration> ProcessingTime) {
  --State.Running_;
  State.RunningRequests_.erase(Request.Number_);
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

bool cancelWaiting(AdmissionQueue &State, const QueuedRequest &Request) {
  return State.Waiting_.erase(orderOf(Request)) > 0;
}

DispatchResult dispatchWaiting(AdmissionQueue &State, Instant Now) {
  DispatchResult Result;
  for (const auto &[Order, Request] : State.Waiting_)
    if (isTooLate(State, Request, Now))
      Result.Dropped_.push_back(Request);
  for (const QueuedRequest &Request : Result.Dropped_)
    cancelWaiting(State, Request);
  while (!State.Waiting_.empty() && hasCapacity(State, Now)) {
    const auto Next = nextToStart(State);
    Result.Started_.push_back(Next->second);
    State.Waiting_.erase(Next);
    startRequest(State, Result.Started_.back(), Now);
  }
  return Result;
}

Duration expectedWait(const AdmissionQueue &State, const QueuedRequest &Request,
                      Instant Now) {
  RequestsAhead Ahead;
  for (const QueuedRequest *Waiting : requestsAhead(State, Request))
    add(Ahead, expectedWork(State, *Waiting));
  return waitBehind(State, Ahead, meanRemainingWork(State, Now), Now);
}

std::optional<Duration> timeToNextToken(const AdmissionQueue &State,
                                        Instant Now) {
  if (State.Waiting_.empty() || !rateLimit(State, Now) ||
      State.Running_ >= State.Slots_)
    return std::nullopt;
  return rateLimitWait(State, 1, Now);
}

namespace {

/// Returns the requests that would precede one that came now, by its rank. It
/// would be the last one of its rank.
std::array<RequestsAhead, ReportedRanks>
aheadByRank(const AdmissionQueue &State) {
  std::array<RequestsAhead, ReportedRanks> Ahead{};
  for (const auto &[Order, Waiting] : State.Waiting_) {
    const Duration Work = expectedWork(State, Waiting);
    for (std::size_t Rank = Order.Rank_; Rank < ReportedRanks; ++Rank)
      add(Ahead[Rank], Work);
    if (Order.Rank_ >= ReportedRanks)
      add(Ahead.back(), Work);
  }
  return Ahead;
}

/// Returns the work of the upstream; unknown if it reports no slowdown.
UpstreamWork upstreamWork(const AdmissionQueue &State, Instant Now) {
  UpstreamWork Work;
  if (!isSpeedKnown(State.Speed_))
    return Work;
  Work.SlowdownPercent_ = reportedPercent(State.Speed_.MeanPercent_);
  Work.CurrentSlowdownPercent_ =
      reportedPercent(expectedSlowdown(State.Speed_, Duration::zero(), Now) *
                      UsualSlowdownPercent);
  const Duration Running = meanRemainingWork(State, Now);
  const std::array<RequestsAhead, ReportedRanks> Ahead = aheadByRank(State);
  Work.RemainingMillis_ =
      reportedMillis(Running * State.Running_ + Ahead.back().Work_);
  for (std::size_t Rank = 0; Rank < ReportedRanks; ++Rank)
    Work.WaitMillis_[Rank] =
        reportedMillis(waitBehind(State, Ahead[Rank], Running, Now));
  return Work;
}

} // namespace

LoadReport loadReport(const AdmissionQueue &State, Instant Now) {
  LoadReport Load;
  Load.Running_ = State.Running_;
  Load.Queued_ = static_cast<std::uint32_t>(State.Waiting_.size());
  Load.Slots_ = State.Slots_;
  Load.ProcessingMillis_ =
      static_cast<std::uint32_t>(toMillis(State.ProcessingTime_).count());
  if (const std::optional<double> Limit = rateLimit(State, Now))
    Load.RateLimit_ = static_cast<std::uint32_t>(std::ceil(*Limit));
  Load.Work_ = upstreamWork(State, Now);
  return Load;
}

} // namespace lagoonhitch

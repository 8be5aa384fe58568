#include "limits/admission_work.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

/// Number of samples from which on the spread of a class's work is used. Before
/// that, and for unknown classes, it is this multiple of the work, so that a
/// running request counts as a whole however long it has run.
constexpr std::uint32_t MinSpreadSamples = 8;
constexpr double UnknownSpread = 1.2;

/// Returns the average processing time of requests with the same objective, or
/// an estimate if there is no sample of them.
Duration averageProcessingTime(const AdmissionQueue &State,
                               const QueuedRequest &Request) {
  const auto Found = State.ProcessingTimeByObjective_.find(Request.Objective_);
  return Found == State.ProcessingTimeByObjective_.end()
             ? std::min(State.ProcessingTime_, Request.Objective_ / 2)
             : Found->second;
}

/// Returns the standard deviation of the work of a request.
Duration workSpread(const AdmissionQueue &State, const QueuedRequest &Request,
                    Duration Work) {
  const ClassWork *Known = findClassWork(State.Works_, Request.Class_);
  if (Known != nullptr && Known->Samples_ >= MinSpreadSamples)
    return Known->Spread_;
  return std::chrono::duration_cast<Duration>(Work * UnknownSpread);
}

} // namespace

RunningRequest makeRunningRequest(const AdmissionQueue &State,
                                  const QueuedRequest &Request, Instant Now) {
  const Duration Work = expectedWork(State, Request);
  return {Work, workSpread(State, Request, Work), workDone(State.Speed_, Now)};
}

Duration timeFor(const AdmissionQueue &State, Duration Work, Instant Now) {
  return std::chrono::duration_cast<Duration>(
      Work * expectedSlowdown(State.Speed_, Work, Now));
}

bool isHopeless(const AdmissionQueue &State, const QueuedRequest &Request,
                Instant Now) {
  const ClassWork *Known = findClassWork(State.Works_, Request.Class_);
  const bool Reliable =
      isSpeedKnown(State.Speed_) && Known != nullptr &&
      Known->Samples_ >= State.Options_.MinSamplesToReject_ &&
      Now - Known->SampledAt_ <= State.Options_.MaxSampleAgeToReject_;
  return Reliable && timeFor(State, medianOf(Known->Mean_, Known->Spread_),
                             Now) > Request.Deadline_ - Now;
}

Duration retryAfterHopeless(const QueuedRequest &Request, Instant Now) {
  constexpr std::chrono::milliseconds SlowMoment{400};
  const Duration Left =
      std::max<Duration>(Request.Deadline_ - Now, Duration::zero());
  return std::min<Duration>(SlowMoment, Left);
}

Duration meanRemainingWork(const AdmissionQueue &State, Instant Now) {
  if (State.RunningRequests_.empty())
    return Duration::zero();
  const std::chrono::duration<double> Done = workDone(State.Speed_, Now);
  Duration Sum{};
  for (const auto &[Number, Run] : State.RunningRequests_)
    Sum += remainingWork(
        Run.Work_, Run.Spread_,
        std::chrono::duration_cast<Duration>(Done - Run.WorkDoneBefore_));
  return Sum / static_cast<std::int64_t>(State.RunningRequests_.size());
}

std::optional<Duration> learnWork(AdmissionQueue &State,
                                  const QueuedRequest &Request, Instant Now) {
  const auto Found = State.RunningRequests_.find(Request.Number_);
  if (Found == State.RunningRequests_.end())
    return std::nullopt;
  const RunningRequest &Run = Found->second;
  const auto Work = std::chrono::duration_cast<Duration>(
      workDone(State.Speed_, Now) - Run.WorkDoneBefore_);
  if (Work <= Duration::zero())
    return std::nullopt;
  if (Run.Work_ > Duration::zero()) {
    const double Ratio = static_cast<double>(Work.count()) /
                         static_cast<double>(Run.Work_.count());
    ++State.EstimateError_.Runs_;
    State.EstimateError_.RatioSum_ += Ratio;
    State.EstimateError_.LogErrorSum_ += std::abs(std::log(Ratio));
  }
  addWorkSample(State.Works_, Request.Class_, Work, Now);
  return isSpeedKnown(State.Speed_) ? std::optional<Duration>(Work)
                                    : std::nullopt;
}

Duration expectedWork(const AdmissionQueue &State,
                      const QueuedRequest &Request) {
  Duration Fallback = averageProcessingTime(State, Request);
  if (isSpeedKnown(State.Speed_))
    Fallback = std::chrono::duration_cast<Duration>(
        Fallback * (UsualSlowdownPercent / State.Speed_.MeanPercent_));
  return expectedWork(State.Works_, Request.Class_, Fallback);
}

Duration expectedProcessingTime(const AdmissionQueue &State,
                                const QueuedRequest &Request, Instant Now) {
  return timeFor(State, expectedWork(State, Request), Now);
}

Duration remainingWork(const AdmissionQueue &State, Instant Now) {
  Duration Work = meanRemainingWork(State, Now) * State.Running_;
  for (const auto &[Order, Waiting] : State.Waiting_)
    Work += expectedWork(State, Waiting);
  return Work;
}

} // namespace lagoonhitch

#include "limits/work_estimate.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

using Seconds = std::chrono::duration<double>;

/// Number of samples that the fallback counts as. The work of single requests
/// of a class often differs from their mean by its whole amount.
constexpr double FallbackSamples = 2;

/// A request that has run for longer than expected needs about 0.9 times the
/// standard deviation more, if the work has a lognormal distribution with a
/// variance of the logarithm of up to 0.5.
constexpr double LateRemainder = 0.9;

void addSample(ClassWork &Work, Duration Sample, double MinWeight,
               Instant Now) {
  ++Work.Samples_;
  Work.SampledAt_ = Now;
  const double Weight = std::max(1.0 / Work.Samples_, MinWeight);
  const Seconds Deviation = Sample - Work.Mean_;
  const double Variance = Seconds(Work.Spread_).count() *
                          Seconds(Work.Spread_).count() * (1 - Weight);
  const double Added =
      Deviation.count() * Deviation.count() * Weight * (1 - Weight);
  Work.Spread_ = std::chrono::duration_cast<Duration>(
      Seconds(std::sqrt(Variance + Added)));
  Work.Mean_ += std::chrono::duration_cast<Duration>(Deviation * Weight);
}

void forgetLeastRecent(WorkEstimate &State) {
  State.Classes_.erase(std::min_element(
      State.Classes_.begin(), State.Classes_.end(),
      [](const auto &Left, const auto &Right) {
        return Left.second.SampledAt_ < Right.second.SampledAt_;
      }));
}

} // namespace

void addWorkSample(WorkEstimate &State, std::uint32_t Class, Duration Work,
                   Instant Now) {
  if (Work <= Duration::zero() || Work > State.Options_.MaxWork_)
    return;
  addSample(State.All_, Work, State.Options_.SampleWeight_, Now);
  if (Class == 0)
    return;
  const bool Full = State.Classes_.size() >= State.Options_.MaxClasses_ &&
                    !State.Classes_.contains(Class);
  if (Full)
    forgetLeastRecent(State);
  addSample(State.Classes_[Class], Work, State.Options_.SampleWeight_, Now);
}

const ClassWork *findClassWork(const WorkEstimate &State, std::uint32_t Class) {
  const auto Found = State.Classes_.find(Class);
  return Found == State.Classes_.end() ? nullptr : &Found->second;
}

Duration expectedWork(const WorkEstimate &State, std::uint32_t Class,
                      Duration Fallback) {
  const ClassWork *Known = findClassWork(State, Class);
  if (Known == nullptr)
    return Fallback;
  const double Samples = Known->Samples_;
  return std::chrono::duration_cast<Duration>(
      (Known->Mean_ * Samples + Fallback * FallbackSamples) /
      (Samples + FallbackSamples));
}

Duration remainingWork(Duration Expected, Duration Spread, Duration Done) {
  const auto Late =
      std::chrono::duration_cast<Duration>(Spread * LateRemainder);
  return std::max(Expected - std::max(Done, Duration::zero()),
                  std::min(Late, Expected));
}

Duration medianOf(Duration Mean, Duration Spread) {
  if (Mean <= Duration::zero())
    return Mean;
  const double Ratio = Seconds(Spread) / Seconds(Mean);
  return std::chrono::duration_cast<Duration>(Mean /
                                              std::sqrt(1 + Ratio * Ratio));
}

} // namespace lagoonhitch

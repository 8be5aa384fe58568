#include "limits/upstream_speed.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lagoonhitch {

namespace {

using Seconds = std::chrono::duration<double>;

/// Averaging period of the mean slowdown. Periods of low speed last less than
/// half a second, so they change the mean by little.
constexpr Seconds AveragingPeriod{5};
/// A value counts for at most this long if no other follows.
constexpr Seconds MaxValueAge{0.5};
/// Share of the deviation of a single value from the usual speed that belongs
/// to the long-term mean, and the time of observation that it stands for.
constexpr double LongTermShare = 0.35;
constexpr std::chrono::milliseconds FirstValueWeight{200};

/// The share of a deviation from the mean that is left after a time. These are
/// the autocorrelations of the slowdown (0.97, 0.89, 0.8, 0.68, 0.44) without
/// the part that never fades, LongTermShare, because that is in the mean.
struct FadePoint {
  Seconds Age_;
  double Share_ = 0;
};
constexpr double withoutLongTerm(double Autocorrelation) {
  return (Autocorrelation - LongTermShare) / (1 - LongTermShare);
}
constexpr std::array<FadePoint, 7> FadePoints = {
    {{Seconds(0), 1},
     {Seconds(0.02), withoutLongTerm(0.97)},
     {Seconds(0.08), withoutLongTerm(0.89)},
     {Seconds(0.15), withoutLongTerm(0.8)},
     {Seconds(0.25), withoutLongTerm(0.68)},
     {Seconds(0.4), withoutLongTerm(0.44)},
     {Seconds(0.5), 0}}};

/// Returns the share that is left at an age.
double shareAt(Seconds Age) {
  for (std::size_t Index = 1; Index < FadePoints.size(); ++Index) {
    const FadePoint &Before = FadePoints[Index - 1];
    const FadePoint &After = FadePoints[Index];
    if (Age >= After.Age_)
      continue;
    const double Part = (Age - Before.Age_) / (After.Age_ - Before.Age_);
    return Before.Share_ + Part * (After.Share_ - Before.Share_);
  }
  return 0;
}

/// Returns the integral of shareAt() from zero to an age.
Seconds shareUntil(Seconds Age) {
  Seconds Sum{};
  for (std::size_t Index = 1; Index < FadePoints.size(); ++Index) {
    const FadePoint &Before = FadePoints[Index - 1];
    const Seconds End = std::min(Age, FadePoints[Index].Age_);
    if (End <= Before.Age_)
      break;
    Sum += (End - Before.Age_) * (Before.Share_ + shareAt(End)) / 2;
  }
  return Sum;
}

} // namespace

bool isPlausibleSlowdown(std::uint32_t Percent) {
  return Percent >= MinSlowdownPercent && Percent <= MaxSlowdownPercent;
}

bool isSpeedKnown(const UpstreamSpeed &State) { return State.MeanPercent_ > 0; }

void forgetSpeed(UpstreamSpeed &State) {
  State.MeanPercent_ = 0;
  State.LatestPercent_ = 0;
  State.ObservedFor_ = Duration::zero();
}

void observeSlowdown(UpstreamSpeed &State, std::uint32_t Percent, Instant Now) {
  if (!isPlausibleSlowdown(Percent))
    return;
  const double Value = Percent;
  const std::chrono::duration<double> Done = workDone(State, Now);
  if (!isSpeedKnown(State)) {
    State.MeanPercent_ =
        UsualSlowdownPercent + LongTermShare * (Value - UsualSlowdownPercent);
    State.ObservedFor_ = FirstValueWeight;
  } else if (Now > State.LatestAt_) {
    const Seconds Elapsed =
        std::min<Seconds>(Now - State.LatestAt_, MaxValueAge);
    State.ObservedFor_ = std::min(
        State.ObservedFor_ + std::chrono::duration_cast<Duration>(Elapsed),
        std::chrono::duration_cast<Duration>(AveragingPeriod));
    // Weighted by time and not by responses, which are more frequent in busy
    // periods.
    const double Weight = std::min(1.0, Elapsed / Seconds(State.ObservedFor_));
    const double Between = (State.LatestPercent_ + Value) / 2;
    State.MeanPercent_ += Weight * (Between - State.MeanPercent_);
  }
  State.WorkDone_ = Done;
  State.LatestPercent_ = Value;
  State.LatestAt_ = Now;
}

double remainingDeviation(Duration From, Duration Length) {
  const Seconds Begin = std::max(Seconds(From), Seconds::zero());
  if (Length <= Duration::zero())
    return shareAt(Begin);
  return (shareUntil(Begin + Length) - shareUntil(Begin)) / Seconds(Length);
}

double fadedSlowdown(double MeanPercent, double LatestPercent, Duration Age,
                     Duration Length) {
  return MeanPercent +
         (LatestPercent - MeanPercent) * remainingDeviation(Age, Length);
}

double expectedSlowdown(const UpstreamSpeed &State, Duration Work,
                        Instant Now) {
  if (!isSpeedKnown(State))
    return 1;
  const auto Length = std::chrono::duration_cast<Duration>(
      Work * (State.MeanPercent_ / UsualSlowdownPercent));
  return fadedSlowdown(State.MeanPercent_, State.LatestPercent_,
                       Now - State.LatestAt_, Length) /
         UsualSlowdownPercent;
}

Seconds workDone(const UpstreamSpeed &State, Instant Now) {
  if (Now <= State.LatestAt_)
    return State.WorkDone_;
  const Duration Elapsed = Now - State.LatestAt_;
  if (!isSpeedKnown(State))
    return State.WorkDone_ + Elapsed;
  return State.WorkDone_ +
         Elapsed * (UsualSlowdownPercent /
                    fadedSlowdown(State.MeanPercent_, State.LatestPercent_,
                                  Duration::zero(), Elapsed));
}

} // namespace lagoonhitch

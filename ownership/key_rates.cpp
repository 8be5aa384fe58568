#include "ownership/key_rates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds DecayInterval{200};
/// Time constant of the slow averages: without new requests a rate falls to
/// about a third in this time.
constexpr std::chrono::milliseconds DecayTime{2500};
/// Time constant of the fast averages. A key with 60 requests a second has a
/// standard deviation of 12 % then.
constexpr std::chrono::milliseconds RecentDecayTime{600};
/// Shortest time over which the rates of a key are averaged.
constexpr std::chrono::milliseconds MinCountingTime{400};
/// Time after which a gain of keys no longer affects their averages.
constexpr std::chrono::seconds GainTime{10};
/// Difference between the two averages of a key from which the load counts as
/// changed, in standard deviations of the fast one.
constexpr double StepDeviations = 3;
/// The same while the load of the whole host changes: many keys with few
/// requests each show no step alone.
constexpr double StepDeviationsInHostStep = 1;
/// Keys with fewer requests per second are forgotten.
constexpr double MinTrackedRate = 0.02;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double decayFactor(Duration Elapsed, Duration TimeConstant) {
  return std::exp(-seconds(Elapsed) / seconds(TimeConstant));
}

/// Returns how long the requests for a key have been counted.
Duration countingTime(const KeyRates &Rates, KeyId Key, Instant Now) {
  Instant Since = Rates.CountingSince_.value_or(Now);
  for (const KeyRates::Gain &Gained : Rates.Gains_)
    if (contains(Gained.Range_, Key))
      Since = std::max(Since, Gained.At_);
  return std::max<Duration>(Now - Since, MinCountingTime);
}

/// Returns the factor by which an average is too low because the key has been
/// counted only for a short time.
double correction(Duration Counted, Duration TimeConstant) {
  return 1 / (1 - decayFactor(Counted, TimeConstant));
}

/// Returns whether two averages of a Poisson process differ by more than chance
/// explains.
bool isStep(double Slow, double Fast, Duration Counted, double Deviations) {
  const double Remainder = decayFactor(Counted, RecentDecayTime);
  const double Variance = std::max(Slow, Fast) /
                          (2 * seconds(RecentDecayTime)) * (1 + Remainder) /
                          (1 - Remainder);
  return std::abs(Fast - Slow) > Deviations * std::sqrt(Variance);
}

/// Returns whether the sums of the averages of all keys show a step.
/// \param SlowDecay by how much the slow averages are too high now.
/// \param FastDecay the same for the fast ones.
bool hasHostStep(const KeyRates &Rates, double SlowDecay, double FastDecay,
                 Instant Now) {
  double Slow = 0;
  double Fast = 0;
  for (const auto &[Key, Averages] : Rates.Averages_) {
    const Duration Counted = countingTime(Rates, Key, Now);
    Slow += Averages.Slow_ * SlowDecay * correction(Counted, DecayTime);
    Fast += Averages.Fast_ * FastDecay * correction(Counted, RecentDecayTime);
  }
  const Duration Counted = Now - Rates.CountingSince_.value_or(Now);
  return isStep(Slow, Fast, std::max<Duration>(Counted, MinCountingTime),
                StepDeviations);
}

} // namespace

void countRequest(KeyRates &Rates, KeyId Key, Instant Now) {
  if (!Rates.CountingSince_)
    Rates.CountingSince_ = Now;
  KeyRates::Averages &Averages = Rates.Averages_[Key];
  Averages.Slow_ += 1 / seconds(DecayTime);
  Averages.Fast_ += 1 / seconds(RecentDecayTime);
}

void onKeysGained(KeyRates &Rates, const KeyRange &Range, Instant Now) {
  Rates.Gains_.push_back({Range, Now});
}

void decayRates(KeyRates &Rates, Instant Now) {
  if (Rates.DecayedAt_ == Instant::min())
    Rates.DecayedAt_ = Now;
  const Duration Elapsed = Now - Rates.DecayedAt_;
  if (Elapsed < DecayInterval)
    return;
  Rates.DecayedAt_ = Now;
  Rates.Rates_.clear();
  Rates.Total_ = 0;
  std::erase_if(Rates.Gains_, [Now](const KeyRates::Gain &Gained) {
    return Now - Gained.At_ > GainTime;
  });
  // The averages at the middle of the time since the last decay are used: with
  // requests counted one by one and a decay in steps, an average is too high
  // before each decay and too low after it.
  const double SlowDecay = decayFactor(Elapsed / 2, DecayTime);
  const double FastDecay = decayFactor(Elapsed / 2, RecentDecayTime);
  const double Deviations = hasHostStep(Rates, SlowDecay, FastDecay, Now)
                                ? StepDeviationsInHostStep
                                : StepDeviations;
  for (auto &[Key, Averages] : Rates.Averages_) {
    const Duration Counted = countingTime(Rates, Key, Now);
    const double SlowFactor = SlowDecay * correction(Counted, DecayTime);
    const double Fast =
        Averages.Fast_ * FastDecay * correction(Counted, RecentDecayTime);
    if (isStep(Averages.Slow_ * SlowFactor, Fast, Counted, Deviations))
      Averages.Slow_ = Fast / SlowFactor;
    const double Rate = Averages.Slow_ * SlowFactor;
    if (Rate >= MinTrackedRate) {
      Rates.Rates_.emplace_hint(Rates.Rates_.end(), Key, Rate);
      Rates.Total_ += Rate;
    }
    Averages.Slow_ *= SlowDecay * SlowDecay;
    Averages.Fast_ *= FastDecay * FastDecay;
  }
  std::erase_if(Rates.Averages_, [](const auto &Entry) {
    return Entry.second.Slow_ < MinTrackedRate;
  });
}

void keepKeys(KeyRates &Rates, const std::function<bool(KeyId)> &Keep) {
  const auto IsDropped = [&Keep](const auto &Entry) {
    return !Keep(Entry.first);
  };
  std::erase_if(Rates.Averages_, IsDropped);
  std::erase_if(Rates.Rates_, IsDropped);
  Rates.Total_ = 0;
  for (const auto &[Key, Rate] : Rates.Rates_)
    Rates.Total_ += Rate;
}

double rateOf(const KeyRates &Rates, KeyId Key) {
  const auto Found = Rates.Rates_.find(Key);
  return Found == Rates.Rates_.end() ? 0 : Found->second;
}

double recentRateOf(const KeyRates &Rates, KeyId Key, Instant Now) {
  const auto Found = Rates.Averages_.find(Key);
  if (Found == Rates.Averages_.end())
    return 0;
  // An average is right in the middle between two decays.
  const Duration SinceDecay =
      std::clamp<Duration>(Now - Rates.DecayedAt_, {}, DecayInterval);
  return Found->second.Fast_ *
         decayFactor(SinceDecay - DecayInterval / 2, RecentDecayTime) *
         correction(countingTime(Rates, Key, Now), RecentDecayTime);
}

} // namespace lagoonhitch

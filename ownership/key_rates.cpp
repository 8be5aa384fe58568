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
/// Shortest time over which rates are averaged after the first request.
constexpr std::chrono::milliseconds MinCountingTime{400};
/// Difference between the two averages of a key from which the load counts as
/// changed, in standard deviations of the fast one.
constexpr double StepDeviations = 3;
/// Keys with fewer requests per second are forgotten.
constexpr double MinTrackedRate = 0.02;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double decayFactor(Duration Elapsed, Duration TimeConstant) {
  return std::exp(-seconds(Elapsed) / seconds(TimeConstant));
}

/// Returns the factor by which an average is too low because counting began
/// only a moment ago.
double correction(const KeyRates &Rates, Duration TimeConstant, Instant Now) {
  if (!Rates.CountingSince_)
    return 1;
  const Duration Counted =
      std::max<Duration>(Now - *Rates.CountingSince_, MinCountingTime);
  return 1 / (1 - decayFactor(Counted, TimeConstant));
}

/// Returns whether two averages of a Poisson process differ by more than
/// chance explains.
bool isStep(double Slow, double Fast) {
  const double Variance = std::max(Slow, Fast) / (2 * seconds(RecentDecayTime));
  return std::abs(Fast - Slow) > StepDeviations * std::sqrt(Variance);
}

void decay(std::map<KeyId, double> &Averages, double Factor) {
  for (auto &[Key, Rate] : Averages)
    Rate *= Factor;
  std::erase_if(Averages, [](const auto &Entry) {
    return Entry.second < MinTrackedRate;
  });
}

/// Sets the slow averages of keys with a step in their load to the fast ones.
/// \param Elapsed the time since the last decay. The averages at the middle of
/// that time are compared: with requests counted one by one and a decay in
/// steps, an average is too high before each decay and too low after it.
void applySteps(KeyRates &Rates, Duration Elapsed, Instant Now) {
  const double SlowFactor =
      decayFactor(Elapsed / 2, DecayTime) * correction(Rates, DecayTime, Now);
  const double FastFactor = decayFactor(Elapsed / 2, RecentDecayTime) *
                            correction(Rates, RecentDecayTime, Now);
  for (auto &[Key, Rate] : Rates.Rates_) {
    const auto Recent = Rates.RecentRates_.find(Key);
    const double Fast =
        Recent == Rates.RecentRates_.end() ? 0 : Recent->second * FastFactor;
    if (isStep(Rate * SlowFactor, Fast))
      Rate = Fast / SlowFactor;
  }
}

void updateTotal(KeyRates &Rates) {
  Rates.Total_ = 0;
  for (const auto &[Key, Rate] : Rates.Rates_)
    Rates.Total_ += Rate;
}

} // namespace

void countRequest(KeyRates &Rates, KeyId Key, Instant Now) {
  if (!Rates.CountingSince_)
    Rates.CountingSince_ = Now;
  Rates.Rates_[Key] += 1 / seconds(DecayTime);
  Rates.RecentRates_[Key] += 1 / seconds(RecentDecayTime);
  Rates.Total_ += 1 / seconds(DecayTime);
}

void decayRates(KeyRates &Rates, Instant Now) {
  if (Rates.DecayedAt_ == Instant::min())
    Rates.DecayedAt_ = Now;
  const Duration Elapsed = Now - Rates.DecayedAt_;
  if (Elapsed < DecayInterval)
    return;
  applySteps(Rates, Elapsed, Now);
  Rates.DecayedAt_ = Now;
  decay(Rates.Rates_, decayFactor(Elapsed, DecayTime));
  decay(Rates.RecentRates_, decayFactor(Elapsed, RecentDecayTime));
  updateTotal(Rates);
}

void keepKeys(KeyRates &Rates, const std::function<bool(KeyId)> &Keep) {
  const auto IsDropped = [&Keep](const auto &Entry) {
    return !Keep(Entry.first);
  };
  std::erase_if(Rates.Rates_, IsDropped);
  std::erase_if(Rates.RecentRates_, IsDropped);
  updateTotal(Rates);
}

double rateOf(const KeyRates &Rates, KeyId Key, Instant Now) {
  const auto Found = Rates.Rates_.find(Key);
  return Found == Rates.Rates_.end()
             ? 0
             : Found->second * correction(Rates, DecayTime, Now);
}

double recentRateOf(const KeyRates &Rates, KeyId Key, Instant Now) {
  const auto Found = Rates.RecentRates_.find(Key);
  if (Found == Rates.RecentRates_.end())
    return 0;
  // An average is right in the middle between two decays.
  const Duration SinceDecay =
      std::clamp<Duration>(Now - Rates.DecayedAt_, {}, DecayInterval);
  return Found->second *
         decayFactor(SinceDecay - DecayInterval / 2, RecentDecayTime) *
         correction(Rates, RecentDecayTime, Now);
}

double startUpCorrection(const KeyRates &Rates, Instant Now) {
  return correction(Rates, DecayTime, Now);
}

} // namespace lagoonhitch

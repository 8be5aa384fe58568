#include "membership/hot_key_report.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

/// Rate of a key from which it becomes hot, relative to what the owner can run
/// of it. Above one because the measured rate varies by chance.
constexpr double HotFrom = 1.15;
/// Rate that callers send below which it ceases to be hot, and for how long.
constexpr double HotUntil = 0.85;
constexpr std::chrono::milliseconds CoolingTime{1000};
/// Keys with fewer requests per second never count as hot: so few requests say
/// too little about their rate.
constexpr double MinHotRate = 2;
/// Least share of the owner's capacity that counts as available for a key,
/// however many requests other keys get.
constexpr double MinShare = 0.5;
/// Time from the first report in which the measured rate is what callers send.
/// No entry daemon limits the key yet, or only few do.
constexpr std::chrono::milliseconds MeasuringTime{500};
/// Time from the first report until entry daemons are assumed to follow it.
constexpr std::chrono::milliseconds ReportDelay{2500};
/// By how much the logarithm of the estimate of the requests that callers send
/// is corrected per second and unit of its error, upwards and downwards. The
/// measured rate and the digests lag by one or two seconds. An estimate that is
/// too high leaves the owner idle, one that is too low costs only messages.
constexpr double RaisePerSecond = 0.4;
constexpr double LowerPerSecond = 0.6;
/// The longest time for which one update corrects.
constexpr std::chrono::milliseconds MaxUpdateTime{500};
/// Maximum of the estimate, relative to the admitted rate.
constexpr double MaxExcess = 100;

/// Returns the requests per second of a key that the owner can run.
double admittedRate(const KeyRates &Rates, KeyId Key, double Capacity) {
  const double Others = std::max(Rates.Total_ - rateOf(Rates, Key), 0.0);
  return std::max(Capacity - Others, Capacity * MinShare);
}

void updateKey(ReportedHotKey &Hot, const KeyRates &Rates, KeyId Key,
               Duration Elapsed, Instant Now) {
  const double Rate = rateOf(Rates, Key);
  const double Arriving = recentRateOf(Rates, Key, Now);
  // What callers send, if entry daemons send their shares of it.
  const double Wanted =
      Rate * std::max(1.0, Hot.Requested_ / (Hot.Admitted_ * HotKeyMargin));
  if (Wanted >= HotUntil * Hot.Admitted_)
    Hot.LastBusyAt_ = Now;
  if (Now - Hot.HotSince_ < ReportDelay) {
    if (Now - Hot.HotSince_ < MeasuringTime)
      Hot.Requested_ = Rate;
    return;
  }
  const double Error = std::clamp(
      std::log(std::max(Arriving, 0.1) / (Hot.Admitted_ * HotKeyMargin)), -1.0,
      1.0);
  const double PerSecond = Error > 0 ? RaisePerSecond : LowerPerSecond;
  const double Seconds =
      std::chrono::duration<double>(std::min<Duration>(Elapsed, MaxUpdateTime))
          .count();
  Hot.Requested_ =
      std::clamp(Hot.Requested_ * std::exp(PerSecond * Seconds * Error),
                 Hot.Admitted_, Hot.Admitted_ * MaxExcess);
}

} // namespace

HotKeyChanges updateHotKeys(HotKeyReport &Report, const KeyRates &Rates,
                            double Capacity, Instant Now) {
  HotKeyChanges Changes;
  const Duration Elapsed = Report.UpdatedAt_ == Instant::min()
                               ? Duration::zero()
                               : Now - Report.UpdatedAt_;
  Report.UpdatedAt_ = Now;
  // No other key can exceed the least share of the capacity.
  const double Lowest = std::max(Capacity * MinShare * HotFrom, MinHotRate);
  for (const auto &[Key, Rate] : Rates.Rates_) {
    if (Rate < Lowest || Report.Keys_.contains(Key))
      continue;
    const double Admitted = admittedRate(Rates, Key, Capacity);
    if (Rate < HotFrom * Admitted)
      continue;
    Report.Keys_[Key] = {Admitted, Rate, Now, Now};
    Changes.Begun_.push_back(Key);
  }
  for (auto &[Key, Hot] : Report.Keys_) {
    Hot.Admitted_ = admittedRate(Rates, Key, Capacity);
    updateKey(Hot, Rates, Key, Elapsed, Now);
    const bool Ended =
        !Rates.Rates_.contains(Key) || Now - Hot.LastBusyAt_ >= CoolingTime;
    if (Ended)
      Changes.Ended_.push_back(Key);
  }
  for (const KeyId Key : Changes.Ended_)
    Report.Keys_.erase(Key);
  return Changes;
}

std::vector<HotKey> reportedKeys(const HotKeyReport &Report) {
  std::vector<HotKey> Keys;
  for (const auto &[Key, Hot] : Report.Keys_)
    Keys.push_back({Key, static_cast<std::uint32_t>(std::ceil(Hot.Admitted_)),
                    static_cast<std::uint32_t>(std::ceil(Hot.Requested_))});
  std::stable_sort(
      Keys.begin(), Keys.end(), [](const HotKey &Left, const HotKey &Right) {
        return Left.RequestedPerSecond_ > Right.RequestedPerSecond_;
      });
  Keys.resize(std::min(Keys.size(), MaxHotKeys));
  return Keys;
}

bool isHot(const HotKeyReport &Report, KeyId Key) {
  return Report.Keys_.contains(Key);
}

} // namespace lagoonhitch

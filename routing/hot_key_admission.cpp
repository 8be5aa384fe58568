#include "routing/hot_key_admission.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

/// Time constant of the average rate of a key's requests. It must follow a step
/// in the load about as fast as the owner does.
constexpr std::chrono::milliseconds RateTime{1000};
/// Number of digest intervals after which the owner's report no longer counts.
constexpr int ReportIntervals = 2;
/// Requests per second that a daemon sends at least, so that one with few
/// requests is not rejected for long.
constexpr double ProbePerSecond = 0.1;
/// Maximum number of unused tokens: those of this time, but at least MinBurst.
constexpr double BurstSeconds = 0.2;
constexpr double MinBurst = 1.5;
/// Averages below this rate are forgotten, at this interval.
constexpr double MinTrackedRate = 0.02;
constexpr std::chrono::seconds PruneInterval{2};
/// The longest time for which a share gains tokens at once; a share is full
/// after that.
constexpr std::chrono::seconds MaxRefillTime{20};

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

double decayFactor(Duration Elapsed) {
  return std::exp(-seconds(Elapsed) / seconds(RateTime));
}

/// Returns the owner's report about a key, nullptr if there is none.
const HotKey *findReport(const FleetMember &Owner, KeyId Key, Instant Now) {
  const std::chrono::milliseconds Interval(Owner.Digest_.IntervalMillis_);
  const bool Known = Owner.LastDigestAt_ != Instant::min() &&
                     Now - Owner.LastDigestAt_ <= Interval * ReportIntervals;
  if (!Known)
    return nullptr;
  const auto Found =
      std::find_if(Owner.Digest_.HotKeys_.begin(), Owner.Digest_.HotKeys_.end(),
                   [Key](const HotKey &Hot) { return Hot.Key_ == Key; });
  const bool Limits = Found != Owner.Digest_.HotKeys_.end() &&
                      Found->AdmittedPerSecond_ > 0 &&
                      Found->RequestedPerSecond_ > 0;
  return Limits ? &*Found : nullptr;
}

/// Returns the part of all requests for the key that may be sent.
double admittedPart(const HotKey &Report) {
  return std::min(1.0, HotKeyMargin * Report.AdmittedPerSecond_ /
                           Report.RequestedPerSecond_);
}

/// Returns the rate at a time, without the request that is counted last.
double rateBefore(const HotKeyAdmission::Rate &Rate, Instant Now) {
  return std::max(0.0, Rate.PerSecond_ - 1 / seconds(RateTime)) *
         decayFactor(Now - Rate.UpdatedAt_);
}

void prune(HotKeyAdmission &State, Instant Now) {
  if (State.PrunedAt_ != Instant::min() &&
      Now - State.PrunedAt_ < PruneInterval)
    return;
  State.PrunedAt_ = Now;
  std::erase_if(State.Rates_, [Now](const auto &Entry) {
    return Entry.second.PerSecond_ *
               decayFactor(Now - Entry.second.UpdatedAt_) <
           MinTrackedRate;
  });
  std::erase_if(State.Shares_, [&State](const auto &Entry) {
    return !State.Rates_.contains(Entry.first);
  });
}

} // namespace

void countKeyRequest(HotKeyAdmission &State, const ServiceKey &Key,
                     Instant Now) {
  prune(State, Now);
  HotKeyAdmission::Rate &Rate = State.Rates_[Key];
  const Duration Elapsed = Now - Rate.UpdatedAt_;
  Rate.PerSecond_ =
      Rate.PerSecond_ * decayFactor(Elapsed) + 1 / seconds(RateTime);
  Rate.UpdatedAt_ = Now;
}

std::optional<Duration> takeFromShare(HotKeyAdmission &State,
                                      const ServiceKey &Key,
                                      const FleetMember &Owner,
                                      Duration LatestRetry, Instant Now) {
  const HotKey *Report = findReport(Owner, Key.second, Now);
  if (Report == nullptr) {
    State.Shares_.erase(Key);
    return std::nullopt;
  }
  const auto Found = State.Rates_.find(Key);
  const double OwnRate =
      Found == State.Rates_.end() ? 0 : rateBefore(Found->second, Now);
  const double Part = admittedPart(*Report);
  const double PerSecond = std::max(OwnRate * Part, ProbePerSecond);
  const auto [At, Added] = State.Shares_.try_emplace(Key);
  HotKeyShare &Share = At->second;
  if (Added || Share.Owner_ != Owner.Record_.Host_) {
    // Entry daemons begin to limit the key at about the same time. One token
    // each would exceed the admitted rate, except of those with few requests.
    const bool HasFew = OwnRate * Part < ProbePerSecond;
    Share = {Owner.Record_.Host_, HasFew ? 1 : Part, Now, Now};
  }
  // The average was higher in the time since the last request. Its integral
  // over that time is what the share gained.
  const Duration Elapsed =
      std::min<Duration>(Now - Share.RefilledAt_, MaxRefillTime);
  const double Gained =
      OwnRate * Part * seconds(RateTime) * (1 / decayFactor(Elapsed) - 1);
  const double Burst = std::max(MinBurst, PerSecond * BurstSeconds);
  Share.Tokens_ =
      std::min(Burst, Share.Tokens_ +
                          std::max(Gained, ProbePerSecond * seconds(Elapsed)));
  Share.RefilledAt_ = Now;
  if (Share.Tokens_ >= 1) {
    Share.Tokens_ -= 1;
    return std::nullopt;
  }
  const Instant TokenAt = Now + fromSeconds((1 - Share.Tokens_) / PerSecond);
  const Instant RetryAt =
      std::min(std::max(TokenAt, Share.ReservedUntil_), Now + LatestRetry);
  Share.ReservedUntil_ = RetryAt + fromSeconds(1 / PerSecond);
  return RetryAt - Now;
}

} // namespace lagoonhitch

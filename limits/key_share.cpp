#include "limits/key_share.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

/// Slots for other keys, relative to the number that they use on average. Their
/// requests arrive at random.
constexpr double SlotsMargin = 1.5;
/// Largest fraction of the slots that is kept for other keys.
constexpr double MaxOthersFraction = 0.5;
/// Requests of a hot key that may wait, as a fraction of the slots, so that
/// each slot that becomes free is used at once. Requests of other keys wait
/// behind them for at most this fraction of a processing time.
constexpr double WaitingFraction = 0.25;

} // namespace

std::optional<Duration> exceedsKeyShare(const AdmissionQueue &Queue,
                                        const KeyShare &Share) {
  const double Slots = std::max<std::uint32_t>(Queue.Slots_, 1);
  const double ProcessingSeconds =
      std::chrono::duration<double>(Queue.ProcessingTime_).count();
  const double Needed =
      std::max(Share.OthersPerSecond_ * ProcessingSeconds * SlotsMargin,
               static_cast<double>(Share.OthersWaiting_));
  // Less than one request in ten processing times does not keep a slot free.
  const double ForOthers =
      Needed < 0.15
          ? 0
          : std::min(std::ceil(Needed), std::floor(Slots * MaxOthersFraction));
  if (ForOthers <= 0)
    return std::nullopt;
  const double ForKey = Slots - ForOthers;
  const double Limit = ForKey + std::ceil(Slots * WaitingFraction);
  if (Share.OfKey_ < Limit)
    return std::nullopt;
  const double Excess = Share.OfKey_ - Limit + 1;
  return std::chrono::duration_cast<Duration>(Queue.ProcessingTime_ * Excess /
                                              ForKey);
}

} // namespace lagoonhitch

#ifndef LAGOONHITCH_LIMITS_KEY_SHARE_H
#define LAGOONHITCH_LIMITS_KEY_SHARE_H

/// \file
/// Keeps a hot key from using all slots and the queue of its upstream.

#include "core/clock.h"
#include "limits/admission_queue.h"

#include <cstdint>
#include <optional>

namespace lagoonhitch {

/// The requests of a hot key and of other keys at an upstream.
struct KeyShare {
  /// Requests of the key that run or wait.
  std::uint32_t OfKey_ = 0;
  /// Requests of other keys that wait for a slot.
  std::uint32_t OthersWaiting_ = 0;
  /// Recent rate of requests of other keys, per second.
  double OthersPerSecond_ = 0;
};

/// Returns whether a request of a hot key has to be rejected because requests
/// of other keys wait or arrive, which need a part of the slots.
/// \returns std::nullopt if the request may be submitted to the queue,
/// otherwise the time until the next one may be.
std::optional<Duration> exceedsKeyShare(const AdmissionQueue &Queue,
                                        const KeyShare &Share);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_KEY_SHARE_H

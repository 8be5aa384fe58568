#ifndef LAGOONHITCH_ROUTING_HOT_KEY_ADMISSION_H
#define LAGOONHITCH_ROUTING_HOT_KEY_ADMISSION_H

/// \file
/// Rejects requests for hot keys at the entry daemon, before they are sent to
/// the owner.

#include "core/clock.h"
#include "core/key_range.h"
#include "membership/fleet.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lagoonhitch {

/// A key of a service.
using ServiceKey = std::pair<std::string, KeyId>;

/// This daemon's share of the requests of a hot key.
struct HotKeyShare {
  /// The host that reports the key.
  std::string Owner_;
  double Tokens_ = 0;
  Instant RefilledAt_;
  /// Until then, tokens are expected to be used by retries of rejected
  /// requests.
  Instant ReservedUntil_ = Instant::min();
};

/// The requests with keys that callers send to this daemon.
struct HotKeyAdmission {
  /// A moving average of a request rate, and when it was last updated.
  struct Rate {
    double PerSecond_ = 0;
    Instant UpdatedAt_;
  };
  std::map<ServiceKey, Rate> Rates_;
  std::map<ServiceKey, HotKeyShare> Shares_;
  Instant PrunedAt_ = Instant::min();
};

/// Counts a caller's request for a key.
void countKeyRequest(HotKeyAdmission &State, const ServiceKey &Key,
                     Instant Now);

/// Takes a request from this daemon's share if the owner reports the key as
/// hot. All entry daemons together send the rate that the owner admits, and a
/// little more; each of them in proportion to the requests that it gets. There
/// is no limit if the owner does not report the key, or if its last digest is
/// older than two intervals.
/// \param Owner the present owner of the key.
/// \returns std::nullopt if the request may be sent, otherwise the time until
/// the share allows a further one; at most LatestRetry.
std::optional<Duration> takeFromShare(HotKeyAdmission &State,
                                      const ServiceKey &Key,
                                      const FleetMember &Owner,
                                      Duration LatestRetry, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_HOT_KEY_ADMISSION_H

#ifndef LAGOONHITCH_OWNERSHIP_KEY_RATES_H
#define LAGOONHITCH_OWNERSHIP_KEY_RATES_H

/// \file
/// The request rates of the keys that a host owns.

#include "core/clock.h"
#include "core/key_range.h"

#include <functional>
#include <map>
#include <optional>

namespace lagoonhitch {

/// Moving averages of the request rates of keys. Each key has a slow average
/// with little noise and a fast one. The slow average is set to the fast one
/// when they differ by more than chance explains, so that a step in the load is
/// known within about a second.
struct KeyRates {
  /// The slow averages, in requests per second, before startUpCorrection().
  std::map<KeyId, double> Rates_;
  /// The fast averages, in requests per second.
  std::map<KeyId, double> RecentRates_;
  /// Sum of Rates_.
  double Total_ = 0;
  /// When the first request was counted.
  std::optional<Instant> CountingSince_;
  /// When the averages last decayed.
  Instant DecayedAt_ = Instant::min();
};

/// Counts a request for a key.
void countRequest(KeyRates &Rates, KeyId Key, Instant Now);

/// Lets the averages decay and detects steps in the load. Call it several times
/// a second.
void decayRates(KeyRates &Rates, Instant Now);

/// Forgets the keys for which Keep returns false.
void keepKeys(KeyRates &Rates, const std::function<bool(KeyId)> &Keep);

/// Returns the slow average of a key's rate, corrected, in requests per second.
double rateOf(const KeyRates &Rates, KeyId Key, Instant Now);

/// Returns the fast average of a key's rate, in requests per second.
double recentRateOf(const KeyRates &Rates, KeyId Key, Instant Now);

/// Returns the factor by which Rates_ and Total_ are too low because counting
/// began only a moment ago.
double startUpCorrection(const KeyRates &Rates, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_RATES_H

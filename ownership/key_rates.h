#ifndef LAGOONHITCH_OWNERSHIP_KEY_RATES_H
#define LAGOONHITCH_OWNERSHIP_KEY_RATES_H

/// \file
/// The request rates of the keys that a host owns.

#include "core/clock.h"
#include "core/key_range.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lagoonhitch {

/// Moving averages of the request rates of keys. Each key has a slow average
/// with little noise and a fast one. The slow average is set to the fast one
/// when they differ by more than chance explains, so that a step in the load is
/// known within about a second. Averages of keys that have been counted only
/// for a short time are corrected for it.
struct KeyRates {
  /// The averages of one key, uncorrected, in requests per second.
  struct Averages {
    double Slow_ = 0;
    double Fast_ = 0;
  };
  /// Keys that the host has gained, and when.
  struct Gain {
    KeyRange Range_;
    Instant At_;
  };
  std::map<KeyId, Averages> Averages_;
  /// The corrected slow averages as of the last decay, in requests per second.
  std::map<KeyId, double> Rates_;
  /// Sum of Rates_.
  double Total_ = 0;
  /// When the first request was counted.
  std::optional<Instant> CountingSince_;
  /// The gains of the last seconds.
  std::vector<Gain> Gains_;
  /// When the averages last decayed.
  Instant DecayedAt_ = Instant::min();
};

/// Counts a request for a key.
void countRequest(KeyRates &Rates, KeyId Key, Instant Now);

/// Notes that the host gets the requests for some keys from now on.
void onKeysGained(KeyRates &Rates, const KeyRange &Range, Instant Now);

/// Lets the averages decay and detects steps in the load. Call it several times
/// a second.
void decayRates(KeyRates &Rates, Instant Now);

/// Forgets the keys for which Keep returns false.
void keepKeys(KeyRates &Rates, const std::function<bool(KeyId)> &Keep);

/// Returns the slow average of a key's rate, in requests per second.
double rateOf(const KeyRates &Rates, KeyId Key);

/// Returns the fast average of a key's rate, in requests per second.
double recentRateOf(const KeyRates &Rates, KeyId Key, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_RATES_H

#ifndef LAGOONHITCH_MEMBERSHIP_HOT_KEY_REPORT_H
#define LAGOONHITCH_MEMBERSHIP_HOT_KEY_REPORT_H

/// \file
/// Which keys their owner reports as hot, and with which rates.

#include "core/clock.h"
#include "membership/hot_key.h"
#include "ownership/key_rates.h"

#include <map>
#include <vector>

namespace lagoonhitch {

/// A key that its owner reports as hot.
struct ReportedHotKey {
  /// Requests per second of the key that the owner can run.
  double Admitted_ = 0;
  /// Estimated requests per second of the key that callers send.
  double Requested_ = 0;
  Instant HotSince_;
  /// When the key last had nearly as many requests as the owner can run.
  Instant LastBusyAt_;
};

/// The hot keys of one owner.
struct HotKeyReport {
  std::map<KeyId, ReportedHotKey> Keys_;
  Instant UpdatedAt_ = Instant::min();
};

/// The keys that have become hot or ceased to be hot.
struct HotKeyChanges {
  std::vector<KeyId> Begun_;
  std::vector<KeyId> Ended_;
};

/// Updates the hot keys of this host. While entry daemons reject the excess,
/// the owner receives little more than it can run, and infers from it what
/// callers send: each entry daemon sends its share of a known rate, so more
/// arrivals than that mean that callers send more than reported.
/// \param Capacity the requests per second that the host can run.
HotKeyChanges updateHotKeys(HotKeyReport &Report, const KeyRates &Rates,
                            double Capacity, Instant Now);

/// Returns the hot keys for the load digest, those with most requests first.
std::vector<HotKey> reportedKeys(const HotKeyReport &Report);

/// Returns whether a key is reported as hot.
bool isHot(const HotKeyReport &Report, KeyId Key);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_HOT_KEY_REPORT_H

#ifndef LAGOONHITCH_SETTINGS_SITE_BOUNDS_H
#define LAGOONHITCH_SETTINGS_SITE_BOUNDS_H

/// \file
/// Time and retry limits of a site.

#include <chrono>

namespace lagoonhitch {

/// Time and retry limits that the operators of a site set for all its daemons.
struct SiteBounds {
  /// Maximum time that a draining upstream still gets requests.
  std::chrono::milliseconds DrainTimeout_{2000};
  /// Maximum time that an upstream in an evacuated zone still gets requests.
  std::chrono::milliseconds EvacuationTimeout_{5000};
  /// Time from SIGTERM to SIGKILL; the daemon must stop within it.
  std::chrono::milliseconds StopTimeout_{6000};
  /// Maximum hold that an upstream accepts.
  std::chrono::milliseconds MaxHold_{10000};
  /// Allowed retries per first attempt.
  double RetryRatio_ = 0.2;
  /// Additional retries per window, over all daemons.
  double RetrySlack_ = 10;
  /// Window of the retry slack.
  std::chrono::milliseconds RetryWindow_{10000};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SITE_BOUNDS_H

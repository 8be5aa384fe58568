#ifndef LAGOONHITCH_SETTINGS_SITE_BOUNDS_H
#define LAGOONHITCH_SETTINGS_SITE_BOUNDS_H

/// \file
/// Bounds that the operators of a site set for all of its daemons.

#include <chrono>

namespace lagoonhitch {

/// Bounds that the operators of a site set for all of its daemons.
struct SiteBounds {
  /// How long a leaving upstream may still get requests.
  std::chrono::milliseconds DrainTimeout_{2000};
  /// How long an upstream in an evacuated zone may still get requests.
  std::chrono::milliseconds EvacuationTimeout_{5000};
  /// Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds StopTimeout_{6000};
  /// Longest hold that an upstream accepts.
  std::chrono::milliseconds MaxHold_{10000};
  /// Retries allowed for each request of a service.
  double RetryRatio_ = 0.2;
  /// Retries allowed besides, in each window and over all daemons.
  double RetrySlack_ = 10;
  std::chrono::milliseconds RetryWindow_{10000};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_SITE_BOUNDS_H

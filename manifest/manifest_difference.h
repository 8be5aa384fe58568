#ifndef LAGOONHITCH_MANIFEST_MANIFEST_DIFFERENCE_H
#define LAGOONHITCH_MANIFEST_MANIFEST_DIFFERENCE_H

/// \file
/// Compares two versions of a manifest.

#include "manifest/manifest.h"
#include "manifest/manifest_finding.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// One difference between two versions of a manifest.
struct ManifestDifference {
  enum class Kind { Added, Removed, Changed };
  Kind Kind_ = Kind::Changed;
  /// The route, service or limit.
  std::string Place_;
  /// The value before and after; empty where there is none.
  std::string Before_;
  std::string After_;
};

/// Returns what differs, services first, in the order of their names.
std::vector<ManifestDifference> compareManifests(const Manifest &Before,
                                                 const Manifest &After);

/// Returns which limits on callers differ.
std::vector<ManifestDifference> compareLimits(const CallerLimits &Before,
                                              const CallerLimits &After);

/// Finds why a manifest would not take effect, or would lose requests, if it
/// were published while another one is in force.
std::vector<ManifestFinding> checkSuccession(const Manifest &InForce,
                                             const Manifest &Next);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_MANIFEST_DIFFERENCE_H

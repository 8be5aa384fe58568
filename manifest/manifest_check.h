#ifndef LAGOONHITCH_MANIFEST_MANIFEST_CHECK_H
#define LAGOONHITCH_MANIFEST_MANIFEST_CHECK_H

/// \file
/// Checks a manifest before it is published.

#include "manifest/manifest.h"
#include "manifest/manifest_finding.h"

#include <vector>

namespace lagoonhitch {

/// Finds entries that can't work or can never match, and limits that contradict
/// each other.
std::vector<ManifestFinding> checkManifest(const Manifest &Config);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_MANIFEST_CHECK_H

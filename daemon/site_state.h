#ifndef LAGOONHITCH_DAEMON_SITE_STATE_H
#define LAGOONHITCH_DAEMON_SITE_STATE_H

/// \file
/// What a daemon knows of its site. Serving thread only.

#include "manifest/manifest.h"
#include "membership/fleet.h"
#include "ownership/key_table.h"

#include <map>
#include <memory>
#include <string>

namespace lagoonhitch {

/// What a daemon knows of its site.
struct SiteState {
  /// The configuration in force; nullptr while none is known.
  std::shared_ptr<const Manifest> Manifest_;
  Fleet Fleet_;
  /// The owners of the keys of each divided service.
  std::map<std::string, KeyTable> Tables_;
};

/// Returns whether the manifest in force says that a service is divided.
inline bool isSharded(const SiteState &Site, const std::string &Service) {
  if (Site.Manifest_ == nullptr)
    return false;
  const ServiceSpec *Spec = findService(*Site.Manifest_, Service);
  return Spec != nullptr && Spec->Sharded_;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_SITE_STATE_H

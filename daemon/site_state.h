#ifndef LAGOONHITCH_DAEMON_SITE_STATE_H
#define LAGOONHITCH_DAEMON_SITE_STATE_H

/// \file
/// A daemon's view of its site. Serving thread only.

#include "manifest/manifest.h"
#include "membership/crash_history.h"
#include "membership/fleet.h"
#include "ownership/key_table.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// A daemon's view of its site.
struct SiteState {
  /// The current configuration; nullptr while none is known.
  std::shared_ptr<const Manifest> Manifest_;
  /// The members and the evacuated zones.
  Fleet Fleet_;
  /// The key table of each sharded service.
  std::map<std::string, KeyTable> Tables_;
  /// The crashes of all upstreams.
  CrashHistory Crashes_;
  /// The crashes of upstreams on this host, as its member record lists them.
  std::vector<UpstreamCrash> OwnCrashes_;
  /// The record of this host as last read from the store; std::nullopt if there
  /// is none. An earlier process of this daemon may have written it.
  std::optional<MemberRecord> OwnRecord_;
  /// Whether the members have been read from the store.
  bool MembersRead_ = false;
};

/// Returns whether a service is sharded according to the current manifest;
/// false if no manifest or no such service is known.
inline bool isSharded(const SiteState &Site, const std::string &Service) {
  if (Site.Manifest_ == nullptr)
    return false;
  const ServiceSpec *Spec = findService(*Site.Manifest_, Service);
  return Spec != nullptr && Spec->Sharded_;
}

/// Returns how the upstreams of a service are told which keys they hold.
inline GrantMethod grantMethod(const SiteState &Site,
                               const std::string &Service) {
  if (Site.Manifest_ == nullptr)
    return GrantMethod::Calls;
  const ServiceSpec *Spec = findService(*Site.Manifest_, Service);
  return Spec == nullptr ? GrantMethod::Calls : Spec->GrantMethod_;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_SITE_STATE_H

#ifndef LAGOONHITCH_SETTINGS_DAEMON_SETTINGS_H
#define LAGOONHITCH_SETTINGS_DAEMON_SETTINGS_H

/// \file
/// All settings of a daemon.

#include "settings/service_settings.h"
#include "settings/site_bounds.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace lagoonhitch {

/// All settings of a daemon. They come from base file, overlay and host file,
/// or, where the configuration lies in the platform's store, from one file of
/// the host; then there are no services in them.
struct DaemonSettings {
  std::string Site_;
  std::vector<std::string> Zones_;
  /// `ip:port` of the platform's store.
  std::string StoreAddress_;
  std::vector<ServiceSettings> Services_;
  SiteBounds Bounds_;

  std::chrono::milliseconds Lease_{8000};
  std::chrono::milliseconds RenewInterval_{2000};
  std::chrono::milliseconds Hold_{2500};
  std::chrono::milliseconds SuspectAfter_{2500};
  std::size_t MaxBodyBytes_ = 1024 * 1024;

  /// Name of this host; no other host of the site has it.
  std::string Host_;
  std::string Zone_;
  /// Service and `ip:port` of the upstream beside this daemon.
  std::string Service_;
  std::string UpstreamAddress_;
  /// `ip:port` for callers and for the upstream's own requests.
  std::string CallersAddress_;
  /// `ip:port` for callers that may use internal services; empty for none.
  std::string InternalAddress_;
  /// `ip:port` of the readiness question; empty for the admin address only.
  std::string ReadyAddress_;
  /// `ip:port` for the upstream's heartbeats.
  std::string HeartbeatAddress_;
  /// `ip:port` for other daemons, TCP and UDP.
  std::string PeersAddress_;
  /// `ip:port` that other daemons send requests to, if it is not the one that
  /// this daemon listens on.
  std::string PeersPublicAddress_;
  /// `ip:port` for operators and metrics.
  std::string AdminAddress_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_DAEMON_SETTINGS_H

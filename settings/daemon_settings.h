#ifndef LAGOONHITCH_SETTINGS_DAEMON_SETTINGS_H
#define LAGOONHITCH_SETTINGS_DAEMON_SETTINGS_H

/// \file
/// The settings of a daemon.

#include "settings/service_settings.h"
#include "settings/site_bounds.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The settings of a daemon. They are merged from a base file, an overlay file
/// and a host file. If the configuration is in the platform's store, they come
/// from one host file and contain no services.
struct DaemonSettings {
  std::string Site_;
  /// The site's availability zones.
  std::vector<std::string> Zones_;
  /// `ip:port` of the platform's store.
  std::string StoreAddress_;
  std::vector<ServiceSettings> Services_;
  SiteBounds Bounds_;

  /// Duration of the host's lease.
  std::chrono::milliseconds Lease_{8000};
  /// Time between two renewals of the lease.
  std::chrono::milliseconds RenewInterval_{2000};
  /// How long the upstream may hold keys after one grant.
  std::chrono::milliseconds Hold_{2500};
  /// Time without contact after which a host is suspected to have failed.
  std::chrono::milliseconds SuspectAfter_{2500};
  /// Maximum size of a caller's request body.
  std::size_t MaxBodyBytes_ = 1024 * 1024;
  /// Memory of the host, in MB. The default is that of the smallest hosts.
  std::size_t MemoryMegabytes_ = 160;
  /// Maximum number of file descriptors of the daemon.
  std::size_t MaxDescriptors_ = 4100;

  /// Whether the site starts for the first time, so that no daemon of an
  /// earlier time can have granted keys.
  bool FirstStart_ = false;
  /// Name of this host; unique within the site.
  std::string Host_;
  /// Availability zone of this host.
  std::string Zone_;
  /// Service of the local upstream.
  std::string Service_;
  /// `ip:port` of the local upstream.
  std::string UpstreamAddress_;
  /// `ip:port` for requests of callers and of the local upstream.
  std::string CallersAddress_;
  /// `ip:port` for callers that may use internal services; empty for none.
  std::string InternalAddress_;
  /// `ip:port` of the readiness probe; empty for none.
  std::string ReadyAddress_;
  /// `ip:port` for the upstream's heartbeats.
  std::string HeartbeatAddress_;
  /// `ip:port` for other daemons, TCP and UDP.
  std::string PeersAddress_;
  /// `ip:port` that other daemons send requests to; empty if it is the address
  /// that this daemon listens on.
  std::string PeersPublicAddress_;
  /// `ip:port` for operators and metrics.
  std::string AdminAddress_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_DAEMON_SETTINGS_H

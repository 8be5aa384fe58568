#ifndef LAGOONHITCH_SETTINGS_DAEMON_SETTINGS_H
#define LAGOONHITCH_SETTINGS_DAEMON_SETTINGS_H

/// \file
/// All settings of a daemon.

#include "settings/service_settings.h"

#include <chrono>
#include <string>
#include <vector>

namespace lagoonhitch {

/// All settings of a daemon: base file, the site's overlay and the host file.
struct DaemonSettings {
  std::string Site_;
  std::vector<std::string> Zones_;
  /// `ip:port` of the platform's log.
  std::string LogAddress_;
  std::vector<ServiceSettings> Services_;

  std::chrono::milliseconds Lease_{1200};
  std::chrono::milliseconds RenewEvery_{300};
  std::chrono::milliseconds SuspectAfter_{750};
  std::chrono::milliseconds TakeoverMargin_{150};
  std::uint32_t MaxMovesInFlight_ = 64;
  std::chrono::milliseconds AnnounceExpiry_{2000};
  std::chrono::milliseconds SettleAfter_{300};
  std::chrono::milliseconds StopTimeout_{10000};
  std::chrono::milliseconds DedupWindow_{600000};
  std::size_t BodyLimitBytes_ = 1024 * 1024;
  std::uint32_t RetryPercent_ = 10;

  std::string Host_;
  std::string Zone_;
  /// `ip:port` for callers.
  std::string CallersAddress_;
  /// `ip:port` for callers that may use internal services; empty for none.
  std::string InternalAddress_;
  /// `ip:port` for requests from other daemons.
  std::string PeersAddress_;
  /// `ip:port` that other daemons send requests to, if it is not the one that
  /// this daemon listens on.
  std::string PeersPublicAddress_;
  /// `ip:port` for control messages from other daemons.
  std::string ControlAddress_;
  /// `ip:port` for announcements and operators.
  std::string AdminAddress_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_DAEMON_SETTINGS_H

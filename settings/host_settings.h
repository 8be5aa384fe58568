#ifndef LAGOONHITCH_SETTINGS_HOST_SETTINGS_H
#define LAGOONHITCH_SETTINGS_HOST_SETTINGS_H

/// \file
/// Settings of a daemon whose configuration lies in the platform's store.

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lagoonhitch {

/// Bounds that the operators of a site set for all of its daemons.
struct SiteBounds {
  /// How long a leaving upstream may still get requests.
  std::chrono::milliseconds DrainWithin_{2000};
  /// How long an upstream in an evacuated zone may still get requests.
  std::chrono::milliseconds EvacuateWithin_{5000};
  /// Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds StopWithin_{6000};
  /// Longest hold that an upstream accepts.
  std::chrono::milliseconds MaxHold_{10000};
  /// Retries allowed for each request of a service.
  double RetryRatio_ = 0.2;
  /// Retries allowed besides, in each window and over all daemons.
  double RetrySlack_ = 10;
  std::chrono::milliseconds RetryWindow_{10000};
};

/// Settings of a daemon whose configuration lies in the platform's store.
struct HostSettings {
  /// Name of this host; no other host of the site has it.
  std::string Host_;
  std::string Zone_;
  /// Service and `ip:port` of the upstream beside this daemon.
  std::string Service_;
  std::string UpstreamAddress_;
  /// `ip:port` for callers and for the upstream's own requests.
  std::string CallersAddress_;
  /// `ip:port` of the readiness question.
  std::string ReadyAddress_;
  /// `ip:port` for the upstream's announcements.
  std::string AnnounceAddress_;
  /// `ip:port` for other daemons, TCP and UDP.
  std::string PeersAddress_;
  /// `ip:port` for operators and metrics.
  std::string AdminAddress_;
  /// `ip:port` of the platform's store.
  std::string StoreAddress_;
  std::size_t MemoryMb_ = 64;
  SiteBounds Bounds_;
};

/// Decodes host settings; throws SettingsError with all faults.
HostSettings parseHostSettings(const nlohmann::json &Source);

/// Reads the file and decodes it; throws SettingsError.
HostSettings loadHostSettings(const std::string &FileName);

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_HOST_SETTINGS_H

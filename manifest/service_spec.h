#ifndef LAGOONHITCH_MANIFEST_SERVICE_SPEC_H
#define LAGOONHITCH_MANIFEST_SERVICE_SPEC_H

/// \file
/// The services of a manifest.

#include "core/grant_method.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace lagoonhitch {

/// The specification of one service in a manifest.
struct ServiceSpec {
  std::string Name_;
  /// Whether the service is sharded by key; each key then has one owner.
  bool Sharded_ = false;
  /// How the upstreams are told which keys they hold.
  GrantMethod GrantMethod_ = GrantMethod::Calls;
  /// Path of the upstreams' health check.
  std::string HealthPath_ = "/health";
  /// Maximum number of connections to an upstream.
  std::uint32_t MaxConnections_ = 64;
  /// How long an upstream is cold after its start.
  std::chrono::milliseconds ColdStartDuration_{0};
  /// Requests per second that a cold upstream can handle; zero for no limit.
  double ColdRate_ = 0;
  /// How long requests are slow for keys that were granted without a handover.
  std::chrono::milliseconds WarmUpDuration_{0};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_SERVICE_SPEC_H

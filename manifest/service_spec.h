#ifndef LAGOONHITCH_MANIFEST_SERVICE_SPEC_H
#define LAGOONHITCH_MANIFEST_SERVICE_SPEC_H

/// \file
/// What a manifest says of a service.

#include <chrono>
#include <cstdint>
#include <string>

namespace lagoonhitch {

/// What a manifest says of a service.
struct ServiceSpec {
  std::string Name_;
  /// Whether each key has one owner.
  bool Sharded_ = false;
  std::string HealthPath_ = "/health";
  std::uint32_t MaxConnections_ = 64;
  /// How long an upstream stays cold after its start.
  std::chrono::milliseconds ColdStartDuration_{0};
  /// Requests a second that a cold upstream bears; zero for no limit.
  double ColdRate_ = 0;
  /// How long keys are slow that came without a handover.
  std::chrono::milliseconds WarmUpDuration_{0};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_SERVICE_SPEC_H

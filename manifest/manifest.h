#ifndef LAGOONHITCH_MANIFEST_MANIFEST_H
#define LAGOONHITCH_MANIFEST_MANIFEST_H

/// \file
/// What operators publish: routes, services and the limits of callers.

#include "manifest/route.h"
#include "manifest/service_spec.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonhitch {

/// What a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  std::size_t MaxBodyBytes_ = 1024 * 1024;
  std::chrono::milliseconds RequestTimeout_{5000};
  std::chrono::milliseconds IdleTimeout_{60000};
};

/// One published version of the configuration.
struct Manifest {
  /// Grows with every version; zero stands for none.
  std::uint64_t Version_ = 0;
  /// Routes in the order of their host, longest prefix first.
  std::vector<Route> Routes_;
  std::map<std::string, ServiceSpec> Services_;
  CallerLimits Limits_;
};

/// Brings the routes into the order that findRoute() needs.
void sortRoutes(Manifest &Config);

/// Returns the service, or nullptr if the manifest has none of that name.
const ServiceSpec *findService(const Manifest &Config, const std::string &Name);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_MANIFEST_H

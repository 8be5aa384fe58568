#ifndef LAGOONHITCH_MANIFEST_MANIFEST_H
#define LAGOONHITCH_MANIFEST_MANIFEST_H

/// \file
/// The configuration that operators publish: routes, services and limits on
/// callers.

#include "manifest/route.h"
#include "manifest/service_spec.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Limits on callers' requests and connections.
struct CallerLimits {
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  std::size_t MaxBodyBytes_ = 1024 * 1024;
  /// Maximum time that a caller may take to send one complete request.
  std::chrono::milliseconds RequestTimeout_{5000};
  /// Maximum time that a connection may stay open between two requests.
  std::chrono::milliseconds IdleTimeout_{60000};
};

/// One published version of the configuration.
struct Manifest {
  /// Increases with each version; zero for none.
  std::uint64_t Version_ = 0;
  /// Routes sorted by hostname, then by path prefix, longest first.
  std::vector<Route> Routes_;
  std::map<std::string, ServiceSpec> Services_;
  CallerLimits Limits_;
};

/// Sorts the routes as findRoute() requires.
void sortRoutes(Manifest &Config);

/// Returns the service with a name, or nullptr if the manifest has none.
const ServiceSpec *findService(const Manifest &Config, const std::string &Name);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_MANIFEST_H

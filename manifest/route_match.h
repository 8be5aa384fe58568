#ifndef LAGOONHITCH_MANIFEST_ROUTE_MATCH_H
#define LAGOONHITCH_MANIFEST_ROUTE_MATCH_H

/// \file
/// Finds the route of a request and the service that takes it.

#include "manifest/manifest.h"

#include <cstdint>
#include <string_view>

namespace lagoonhitch {

/// Returns the route with the longest prefix of that host, or nullptr. A port
/// in the host and a query in the target are passed over.
const Route *findRoute(const Manifest &Config, std::string_view Host,
                       std::string_view Target);

/// Returns the service that takes a request of the route.
/// \param Draw an evenly distributed random number.
const std::string &pickService(const Route &Matched, std::uint64_t RandomValue);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_ROUTE_MATCH_H

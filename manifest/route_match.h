#ifndef LAGOONHITCH_MANIFEST_ROUTE_MATCH_H
#define LAGOONHITCH_MANIFEST_ROUTE_MATCH_H

/// \file
/// Finds the route of a request and the service that handles it.

#include "manifest/manifest.h"

#include <cstdint>
#include <string_view>

namespace lagoonhitch {

/// Returns the route with the hostname and the longest matching path prefix, or
/// nullptr if there is none.
/// \param Host the request's host header; a port is ignored.
/// \param Target the request target; a query is ignored.
const Route *findRoute(const Manifest &Config, std::string_view Host,
                       std::string_view Target);

/// Returns the service that handles a request of the route, chosen at random by
/// the weights of the route's targets; the first one if all weights are zero.
/// The route must have a target.
/// \param RandomValue a uniformly distributed random number.
const std::string &pickService(const Route &Matched, std::uint64_t RandomValue);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_ROUTE_MATCH_H

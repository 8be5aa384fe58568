#ifndef LAGOONHITCH_MANIFEST_ROUTE_H
#define LAGOONHITCH_MANIFEST_ROUTE_H

/// \file
/// The routes of a manifest.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// One of the services that share a route's requests.
struct RouteTarget {
  std::string Service_;
  /// The service's share, relative to the weights of the other targets.
  std::uint32_t Weight_ = 1;
};

/// How the requests with one hostname and path prefix are routed.
struct Route {
  std::string Name_;
  /// The hostname in requests, without a port.
  std::string Hostname_;
  /// The path prefix; begins and ends with a slash.
  std::string Prefix_;
  std::vector<RouteTarget> Targets_;
  /// Whether it is safe to execute a request more than once.
  bool Idempotent_ = false;
  /// Maximum number of attempts at one request that run or may have run.
  std::uint32_t MaxAttempts_ = 1;
  /// Maximum time until the final response.
  std::chrono::milliseconds Timeout_{5000};
  /// Latency objective: a later response is worth less to the caller.
  std::chrono::milliseconds Objective_{1000};
  /// Zero is the highest priority.
  std::uint32_t Priority_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_ROUTE_H

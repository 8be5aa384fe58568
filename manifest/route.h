#ifndef LAGOONHITCH_MANIFEST_ROUTE_H
#define LAGOONHITCH_MANIFEST_ROUTE_H

/// \file
/// How the requests of one host and path prefix are treated.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// One of the services that share a route's requests.
struct RouteTarget {
  std::string Service_;
  std::uint32_t Weight_ = 1;
};

/// How the requests of one host and path prefix are treated.
struct Route {
  std::string Name_;
  std::string Hostname_;
  /// Begins and ends with a slash.
  std::string Prefix_;
  std::vector<RouteTarget> Targets_;
  /// Whether a request may be executed more than once.
  bool Idempotent_ = false;
  /// Most upstreams that one request may be sent to.
  std::uint32_t MaxAttempts_ = 1;
  /// Longest time until the final answer.
  std::chrono::milliseconds Timeout_{5000};
  /// Time within which an answer has its full value.
  std::chrono::milliseconds Objective_{1000};
  /// Zero is the most urgent.
  std::uint32_t Priority_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MANIFEST_ROUTE_H

#ifndef LAGOONHITCH_TESTS_UNIT_UPSTREAM_CALLS_H
#define LAGOONHITCH_TESTS_UNIT_UPSTREAM_CALLS_H

/// \file
/// Requests to an upstream, one after the other, over one connection pool.

#include "daemon/gateway_result.h"
#include "daemon/upstream_gateway.h"
#include "net/http_client.h"
#include "net/io_loop.h"
#include "platform/monotonic_clock.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace lagoonhitch {

/// Sends requests to an upstream, each after the result of the one before:
/// directly with an HttpClient, or through an UpstreamGateway that uses the
/// same client.
class UpstreamCalls {
public:
  /// \param Address the upstream's `ip:port`.
  explicit UpstreamCalls(std::string Address);

  /// Sends a request and returns its result.
  /// \param Id the request's ID; empty for a request without one.
  HttpResult send(const std::string &Id, const std::string &Method = "GET",
                  std::chrono::milliseconds Timeout = std::chrono::seconds(5));

  /// Passes a request that is not idempotent to the gateway and returns its
  /// result.
  /// \param Attempt how often the request was passed to a gateway, with this
  /// time.
  GatewayResult serve(const std::string &Id, std::uint32_t Attempt);

  /// Returns the upstream's load, as the gateway reports it.
  LoadReport load() const { return Gateway_.load(); }

  /// Returns the number of open connections to the upstream.
  std::size_t openConnections() const;

  /// Sets the maximum number of connections to the upstream.
  void setMaxConnections(std::size_t Limit);

private:
  std::string Address_;
  MonotonicClock Time_;
  IoLoop Loop_;
  HttpClient Client_;
  UpstreamGateway Gateway_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_UNIT_UPSTREAM_CALLS_H

#ifndef LAGOONHITCH_NET_HTTP_SERVER_OPTIONS_H
#define LAGOONHITCH_NET_HTTP_SERVER_OPTIONS_H

/// \file
/// Options of an HTTP server.

#include "net/http_message.h"
#include "net/memory_budget.h"

#include <chrono>
#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The address and limits of an HTTP server. All input from clients is
/// untrusted.
struct HttpServerOptions {
  /// Listening address as `ip:port`; port 0 lets the system choose a port.
  std::string Address_;
  /// Maximum size of the request line and headers.
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  /// Maximum size of a request body.
  std::size_t MaxBodyBytes_ = 1024 * 1024;
  /// Maximum time that a client may take to send one complete request.
  std::chrono::milliseconds RequestTimeout_{5000};
  /// Maximum time that a connection may stay open between two requests.
  std::chrono::milliseconds IdleTimeout_{60000};
  /// Maximum number of connections. Above it, the longest idle one is closed,
  /// or the new one if none is idle.
  std::size_t MaxConnections_ = std::numeric_limits<std::size_t>::max();
  /// The memory for bodies and responses, which servers may share; null for no
  /// limit.
  std::shared_ptr<MemoryBudget> Budget_;
  /// Added to the response to a request that does not fit into the budget.
  std::vector<HttpHeader> NoMemoryHeaders_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_SERVER_OPTIONS_H

#ifndef LAGOONHITCH_NET_HTTP_SERVER_OPTIONS_H
#define LAGOONHITCH_NET_HTTP_SERVER_OPTIONS_H

/// \file
/// Options of an HTTP server.

#include <chrono>
#include <cstddef>
#include <string>

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
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_SERVER_OPTIONS_H

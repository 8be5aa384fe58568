#ifndef LAGOONHITCH_NET_HTTP_SERVER_OPTIONS_H
#define LAGOONHITCH_NET_HTTP_SERVER_OPTIONS_H

/// \file
/// Limits of an HTTP server.

#include <chrono>
#include <cstddef>
#include <string>

namespace lagoonhitch {

/// Limits of an HTTP server; every byte from outside is hostile.
struct HttpServerOptions {
  /// Listening address as `ip:port`; port 0 lets the system choose.
  std::string Address_;
  /// Largest request head in bytes.
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  /// Largest request body in bytes.
  std::size_t MaxBodyBytes_ = 1024 * 1024;
  /// Longest time that a client may take to send one whole request.
  std::chrono::milliseconds RequestTimeout_{5000};
  /// Longest time that a connection may stay open between two requests.
  std::chrono::milliseconds IdleTimeout_{60000};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_SERVER_OPTIONS_H

#ifndef LAGOONHITCH_NET_HTTP_SERVER_H
#define LAGOONHITCH_NET_HTTP_SERVER_H

/// \file
/// An HTTP/1.1 server on an IoLoop.

#include "net/http_exchange.h"
#include "net/http_server_options.h"

#include <functional>
#include <memory>
#include <string>

namespace lagoonhitch {

class IoLoop;

/// Accepts connections and hands whole requests to a handler. Malformed,
/// oversized and slow requests are answered with a 4xx and the connection is
/// closed. All calls are made on the loop's thread.
class HttpServer {
public:
  using Handler =
      std::function<void(HttpRequest, const std::shared_ptr<HttpExchange> &)>;

  /// Opens the listening socket; throws Error if the address is not usable.
  HttpServer(IoLoop &Loop, HttpServerOptions Options, Handler Handle);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns the listening address with the port that is in use.
  std::string address() const;

  /// Sets other limits; the address stays.
  void setLimits(const HttpServerOptions &Limits);

  /// Asks callers to close their connections after their current response,
  /// while new ones are still accepted.
  void disableKeepAlive();

  /// Stops accepting connections; open ones are closed after their current
  /// response, idle ones at once.
  void drain();

  /// Returns the number of requests that wait for their response.
  std::size_t openExchanges() const;

  /// The library's types, for the back end only.
  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_SERVER_H

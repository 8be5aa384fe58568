#ifndef LAGOONHITCH_NET_HTTP_SERVER_H
#define LAGOONHITCH_NET_HTTP_SERVER_H

/// \file
/// An HTTP/1.1 server on an IoLoop.

#include "net/connection_cut.h"
#include "net/http_exchange.h"
#include "net/http_server_options.h"
#include "net/request_rejection.h"

#include <functional>
#include <memory>
#include <string>

namespace lagoonhitch {

class IoLoop;

/// Accepts connections and passes complete requests to a handler. Malformed,
/// oversized and slow requests get a 4xx response, and their connection is
/// closed. Must be used on the loop's thread only.
class HttpServer {
public:
  /// Handles a request; responds through the exchange.
  using Handler =
      std::function<void(HttpRequest, const std::shared_ptr<HttpExchange> &)>;

  /// Returns whether a request may be handled while requests that the client
  /// sent before it on the same connection are not answered yet, provided that
  /// this holds for them as well.
  using OverlapRule = std::function<bool(const HttpRequest &)>;

  /// Is called when a connection was cut.
  using CutCallback = std::function<void(const ConnectionCut &)>;

  /// Opens the listening socket. Throws Error if the address can't be bound.
  /// \param MayOverlap if empty, the requests of a connection are handled one
  /// after the other.
  HttpServer(IoLoop &Loop, HttpServerOptions Options, Handler Handle,
             OverlapRule MayOverlap = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Returns the listening address as `ip:port`, with the port that is in use.
  std::string address() const;

  /// Replaces the limits and timeouts. The address and the budget are ignored.
  void setLimits(const HttpServerOptions &Limits);

  /// Sets the callback for connections that the server decides to close
  /// although a request has no complete response.
  void setOnCut(CutCallback Callback);

  /// Sets whether a request is dropped if its client has closed the connection
  /// before the request is handled. It costs a system call for each request,
  /// and is of use while requests wait long to be read.
  void checkClients(bool Enabled);

  /// Closes each connection after its next response, with `Connection: close`.
  /// New connections are still accepted.
  void disableKeepAlive();

  /// Refuses new connections from now on. Requests on open ones are served.
  void stopAccepting();

  /// Stops accepting connections. Closes idle connections immediately and the
  /// others after their current response.
  void drain();

  /// Returns the number of requests whose response is not sent completely.
  std::size_t openExchanges() const;

  /// Returns whether the body of a request is being received: its header is
  /// complete, and more has arrived within a time.
  /// \param Header a header that it has; the value may have more behind it.
  bool isReceiving(const HttpHeader &Header, Duration MaxSilence) const;

  /// Returns how many requests were rejected, and connections closed, for each
  /// reason.
  const RejectionCounts &rejections() const;

  /// Returns the number of open connections.
  std::size_t openConnections() const;

  /// State that uses types of Boost.Beast.
  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_SERVER_H

#ifndef LAGOONHITCH_NET_HTTP_EXCHANGE_H
#define LAGOONHITCH_NET_HTTP_EXCHANGE_H

/// \file
/// One HTTP request and its response, on the server's side.

#include "net/connection_end.h"
#include "net/http_message.h"

#include <functional>

namespace lagoonhitch {

/// Lets a handler respond to a request, immediately or later.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends the response. Only the first call has an effect.
  virtual void respond(HttpResponse Response) = 0;

  /// Reports to the client that its request is still being handled, by an
  /// interim response (102). Does nothing while other bytes are being sent, or
  /// if an earlier request of the connection is not answered yet. The client
  /// must support HTTP/1.1.
  virtual void reportProgress() {}

  /// Receives why the connection of a request ended.
  using AbandonCallback = std::function<void(ConnectionEnd)>;

  /// Sets a callback that is called at most once, if the client's connection
  /// ends before respond() is called.
  virtual void onAbandoned(AbandonCallback Callback) = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_EXCHANGE_H

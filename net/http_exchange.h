#ifndef LAGOONHITCH_NET_HTTP_EXCHANGE_H
#define LAGOONHITCH_NET_HTTP_EXCHANGE_H

/// \file
/// The server's side of one request and its response.

#include "net/http_message.h"

#include <functional>

namespace lagoonhitch {

/// Lets a handler answer a request now or later.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  /// Sends the response. Only the first call has an effect.
  virtual void respond(HttpResponse Response) = 0;

  /// Sets what is called once if the caller closes its connection before the
  /// response was given.
  virtual void onAbandoned(std::function<void()> Callback) = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_EXCHANGE_H

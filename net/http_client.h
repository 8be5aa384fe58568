#ifndef LAGOONHITCH_NET_HTTP_CLIENT_H
#define LAGOONHITCH_NET_HTTP_CLIENT_H

/// \file
/// A pooled HTTP/1.1 client on an IoLoop.

#include "core/clock.h"
#include "net/http_result.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace lagoonhitch {

class IoLoop;

/// Limits of an HTTP client.
struct HttpClientOptions {
  /// Most connections to one address at a time.
  std::size_t MaxConnections_ = 1024;
  /// Longest time to open a connection.
  std::chrono::milliseconds ConnectTimeout_{300};
  /// Connections idle for longer than this are closed, not used.
  std::chrono::milliseconds MaxIdleTime_{10000};
  /// Connections older than this are closed, not used.
  std::chrono::milliseconds MaxConnectionAge_{300000};
  /// Largest response body in bytes.
  std::size_t MaxBodyBytes_ = 1024 * 1024;
};

/// What to do with a request.
struct HttpCallOptions {
  /// Time from the sending until the call is given up.
  Duration Timeout_ = std::chrono::seconds(5);
  /// Whether the call must open a connection of its own.
  bool RequireNewConnection_ = false;
  /// Longest idle time of a connection that is used again; zero for the
  /// client's own limit.
  Duration MaxIdleTime_{};
  /// A header whose value an answer must repeat; empty for none. An answer
  /// without it counts only if it says that nothing was executed.
  std::string EchoHeader_;
  /// The header that says so.
  std::string NotRunHeader_;
};

/// Sends requests over pooled connections. A request is never sent twice, and
/// a connection whose call timed out, broke or was cancelled is closed, so
/// that no answer can reach another request.
class HttpClient {
public:
  using Callback = std::function<void(HttpResult)>;

  HttpClient(IoLoop &Loop, const Clock &Time, HttpClientOptions Options);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a request to `ip:port`. The callback is called once, unless the
  /// returned handle is passed to cancel() before that.
  std::shared_ptr<void> send(const std::string &Address, HttpRequest Request,
                             HttpCallOptions Options, Callback Done);

  /// Closes the call's connection; its callback is not called.
  void cancel(const std::shared_ptr<void> &Call);

  /// Sets the most connections to one address, other than the default.
  void setMaxConnections(const std::string &Address, std::size_t Limit);

  /// Closes connections that were idle for too long.
  void reapIdle();

  /// Closes the idle connections to an address.
  void closeIdle(const std::string &Address);

  /// Returns the number of open connections to an address.
  std::size_t openConnections(const std::string &Address) const;

  /// The library's types, for the back end only.
  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_CLIENT_H

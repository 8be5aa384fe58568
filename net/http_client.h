#ifndef LAGOONHITCH_NET_HTTP_CLIENT_H
#define LAGOONHITCH_NET_HTTP_CLIENT_H

/// \file
/// An HTTP/1.1 client with a connection pool, on an IoLoop.

#include "core/clock.h"
#include "net/http_result.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lagoonhitch {

class IoLoop;

/// Limits of an HTTP client.
struct HttpClientOptions {
  /// Maximum number of concurrent connections to one address.
  std::size_t MaxConnections_ = 1024;
  /// Time limit for opening a connection.
  std::chrono::milliseconds ConnectTimeout_{300};
  /// Connections that were idle for this long are closed instead of reused.
  std::chrono::milliseconds MaxIdleTime_{10000};
  /// Connections of this age are closed instead of reused.
  std::chrono::milliseconds MaxConnectionAge_{300000};
  /// Maximum size of the status line and headers of a response. Also limits
  /// each chunk header and the trailers.
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  /// Maximum size of a response body.
  std::size_t MaxBodyBytes_ = 1024 * 1024;
  /// Maximum size of all responses that are being received. Near it, reading
  /// of large ones pauses while others are read on; a call fails if that is not
  /// enough. Small responses are received nevertheless, so the size may exceed
  /// this by theirs.
  std::size_t MaxReceivingBytes_ = 24 * 1024 * 1024;
  /// Maximum size of a small response.
  std::size_t SmallResponseBytes_ = 64 * 1024;
};

/// Options of a single call.
struct HttpCallOptions {
  /// Time limit from the start of sending to the end of the response, unless
  /// MaxSilence_ extends it. Opening a connection is not included.
  Duration Timeout_ = std::chrono::seconds(5);
  /// If not zero, a response that is arriving is received after Timeout_, too,
  /// as long as the time since its last bytes is shorter than this.
  Duration MaxSilence_{};
  /// Maximum time from the first byte of a response to its end if that is after
  /// Timeout_.
  Duration MaxReceivingTime_ = std::chrono::seconds(10);
  /// Called when a part of the response, or an interim response, has arrived;
  /// null for none. It must not cancel the call.
  std::function<void()> OnProgress_;
  /// The latest time at which a new connection may be used; the call ends
  /// without being sent if the connection is open only later.
  Instant SendBy_ = Instant::max();
  /// Whether to open a new connection even if an idle one is available.
  bool RequireNewConnection_ = false;
  /// Maximum idle time of a connection to reuse; zero for the client's limit.
  Duration MaxIdleTime_{};
  /// A header of the request whose value the response must repeat; empty for
  /// none. A response without this header is only accepted if it states that
  /// the request was not executed. A few responses with another value are
  /// skipped on a connection that has been used before; it is closed after the
  /// call. After a response without success, another request with the same
  /// value is sent on another connection. If the request has no such header,
  /// the response must not have it either.
  std::string EchoHeader_;
  /// The header by which a response states that the request was not executed.
  std::string NotRunHeader_;
  /// A header that a response with a 2xx status must have; empty for none.
  std::string SuccessHeader_;
};

/// Sends requests over pooled connections. A request is never sent twice. If a
/// call fails, times out or is cancelled, its connection is closed, so that a
/// late response can't be attributed to another request.
class HttpClient {
public:
  using Callback = std::function<void(HttpResult)>;

  HttpClient(IoLoop &Loop, const Clock &Time, HttpClientOptions Options);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends a request to `ip:port`. The callback is called exactly once, unless
  /// the returned handle is passed to cancel() first.
  std::shared_ptr<void> send(const std::string &Address, HttpRequest Request,
                             HttpCallOptions Options, Callback Done);

  /// Cancels a call and closes its connection. The callback is not called.
  void cancel(const std::shared_ptr<void> &Call);

  /// Returns how much of a call's response has arrived, as a number of bytes
  /// that grows with it; bytes that wait in the socket count as well, and
  /// interim responses. It is zero once the call has ended.
  static std::size_t receivedBytes(const std::shared_ptr<void> &Call);

  /// Overrides the maximum number of connections to one address.
  void setMaxConnections(const std::string &Address, std::size_t Limit);

  /// Closes idle connections that exceeded the maximum idle time, that the peer
  /// has closed, or on which it has sent unexpected data.
  void reapIdle();

  /// Closes idle connections to an address that the peer has closed, or on
  /// which it has sent unexpected data.
  void closeEnded(const std::string &Address);

  /// Returns how many connections to an address the peer has ended so far, by a
  /// close without a response that announced it, or by a reset.
  std::size_t lostConnections(const std::string &Address) const;

  /// Closes all idle connections to an address.
  void closeIdle(const std::string &Address);

  /// Returns the number of open connections to an address.
  std::size_t openConnections(const std::string &Address) const;

  /// Returns the size of all responses that are being received.
  std::size_t receivingBytes() const;

  /// State that uses types of Boost.Beast.
  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_CLIENT_H

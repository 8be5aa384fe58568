#ifndef LAGOONHITCH_NET_CONNECTION_POOL_H
#define LAGOONHITCH_NET_CONNECTION_POOL_H

/// \file
/// The connections of an HTTP client. Included only by the implementation files
/// of net.

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonhitch {

struct HttpClientOptions;

/// A connection to a server.
struct ClientConnection {
  explicit ClientConnection(boost::asio::io_context &Context)
      : Stream_(Context) {}

  boost::beast::tcp_stream Stream_;
  Instant OpenedAt_;
  Instant IdleSince_;
  /// When the idle connection was last checked for unexpected data.
  Instant CheckedAt_;
  /// Whether it has carried an earlier request.
  bool Reused_ = false;
  /// Whether it has carried a HEAD request. The length that a response to it
  /// states is not that of its body.
  bool CarriedHead_ = false;
  /// Hashes of the IDs of requests that were answered without success on this
  /// connection. Such a request may be sent again, and a second copy of its
  /// response can't be told from the response to that.
  std::vector<std::size_t> FailedRequests_;
};

/// The connections to one address.
struct ConnectionPool {
  std::vector<std::unique_ptr<ClientConnection>> Idle_;
  std::size_t Open_ = 0;
  std::size_t Limit_ = 0;
  /// Number of connections that the peer has ended.
  std::size_t Lost_ = 0;
};

using ConnectionPools = std::map<std::string, ConnectionPool>;

/// Which idle connections a request may use.
struct ConnectionChoice {
  /// The ID of the request; empty if it has none.
  std::string RequestId_;
  Duration MaxIdleTime_{};
  Duration MaxAge_{};
};

/// Returns the pool of an address, which is created if there is none.
ConnectionPool &poolOf(ConnectionPools &Pools, const std::string &Address,
                       const HttpClientOptions &Options);

/// Takes the latest idle connection that a request may use. Closes others that
/// can't be used any more. Returns nullptr if there is none.
std::unique_ptr<ClientConnection>
takeIdle(ConnectionPool &Pool, const ConnectionChoice &Choice, Instant Now);

/// Closes an idle connection that a request can't use if there may be no
/// further one.
void makeRoom(ConnectionPool &Pool);

/// Closes idle connections that exceeded the maximum idle time, that the peer
/// has closed, or on which it has sent unexpected data.
void reapIdleConnections(ConnectionPool &Pool, Duration MaxIdleTime,
                         Instant Now);

/// Closes idle connections that the peer has closed, or on which it has sent
/// unexpected data.
void closeEndedConnections(ConnectionPool &Pool);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_CONNECTION_POOL_H

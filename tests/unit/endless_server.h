#ifndef LAGOONHITCH_TESTS_UNIT_ENDLESS_SERVER_H
#define LAGOONHITCH_TESTS_UNIT_ENDLESS_SERVER_H

/// \file
/// A TCP server that sends arbitrary bytes instead of HTTP responses.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace lagoonhitch {

/// What an EndlessServer sends on each connection after a request.
struct ServerScript {
  /// Sent once.
  std::string Head_;
  /// Sent again and again after the head; empty for nothing.
  std::string Repeated_;
  /// Pause after each repetition; zero to send as fast as possible.
  std::chrono::microseconds Pause_{};
  /// Pause before the head.
  std::chrono::milliseconds PauseBeforeHead_{};
  /// Pause after the head.
  std::chrono::milliseconds PauseAfterHead_{};
  /// Whether the server closes the connection after the head.
  bool CloseAtEnd_ = false;
  /// Whether the server resets the connection some time after the head, so that
  /// the client has received it.
  bool ResetAtEnd_ = false;
};

/// Accepts connections on loopback, reads a request on each, and then sends
/// the bytes of a script until the client closes the connection, or until a
/// limit of bytes and time that keeps a failing test short.
class EndlessServer {
public:
  /// \param Address the listening address as `ip:port`; port 0 lets the system
  /// choose a port.
  explicit EndlessServer(ServerScript Script,
                         const std::string &Address = "127.0.0.1:0");
  ~EndlessServer();
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  /// Returns the listening address as `ip:port`.
  std::string address() const;

  /// Returns the number of bytes that were sent on all connections.
  std::size_t sentBytes() const { return SentBytes_; }

  /// Waits until the clients have closed all connections, but not longer than a
  /// time limit. Returns whether they have.
  bool waitUntilClosed(std::chrono::milliseconds Limit) const;

private:
  using Socket = boost::asio::ip::tcp::socket;

  void acceptAll();
  void serve(Socket Client);
  void play(Socket &Client);
  bool send(Socket &Client, const std::string &Bytes);

  ServerScript Script_;
  boost::asio::io_context Context_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::atomic<std::size_t> SentBytes_{0};
  std::atomic<std::size_t> OpenConnections_{0};
  std::atomic<bool> Stopping_{false};
  std::vector<std::thread> Serving_;
  std::thread Accepting_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_UNIT_ENDLESS_SERVER_H

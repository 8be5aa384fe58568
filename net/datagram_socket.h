#ifndef LAGOONHITCH_NET_DATAGRAM_SOCKET_H
#define LAGOONHITCH_NET_DATAGRAM_SOCKET_H

/// \file
/// Unreliable datagrams between daemons.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lagoonhitch {

class IoLoop;

/// A non-blocking UDP socket on an IoLoop. Datagrams are neither retransmitted
/// nor queued.
class DatagramSocket {
public:
  /// Called with each received datagram. The data is valid during the call
  /// only.
  using Receiver = std::function<void(const char *Data, std::size_t Size)>;

  /// Opens the socket on `ip:port`. Throws Error if the address can't be bound.
  DatagramSocket(IoLoop &Loop, const std::string &Address, Receiver Receive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// Sends a message to `ip:port`. Drops it if the address is malformed or the
  /// socket's send buffer is full.
  void send(const std::string &Address, const std::string &Message);

  /// State that uses types of Boost.Asio.
  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_DATAGRAM_SOCKET_H

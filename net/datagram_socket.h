#ifndef LAGOONHITCH_NET_DATAGRAM_SOCKET_H
#define LAGOONHITCH_NET_DATAGRAM_SOCKET_H

/// \file
/// Small messages between daemons that may get lost.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lagoonhitch {

class IoLoop;

/// A UDP socket on an IoLoop. Nothing is sent again, and nothing waits.
class DatagramSocket {
public:
  using Receiver = std::function<void(const char *Data, std::size_t Size)>;

  /// Opens the socket; throws Error if the address is not usable.
  DatagramSocket(IoLoop &Loop, const std::string &Address, Receiver Receive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// Sends a message to `ip:port`; it is dropped if the socket has no room.
  void send(const std::string &Address, const std::string &Message);

  /// The library's types, for the back end only.
  struct Impl;

private:
  std::shared_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_DATAGRAM_SOCKET_H

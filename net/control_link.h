#ifndef LAGOONHITCH_NET_CONTROL_LINK_H
#define LAGOONHITCH_NET_CONTROL_LINK_H

/// \file
/// Carries control messages between daemons over nng.

#include <functional>
#include <memory>
#include <string>

namespace lagoonhitch {

/// One-way datagram-like messages over TCP: a push socket for each peer, one
/// pull socket for all. Nothing is ever sent again by itself, so the protocol
/// above decides what a loss means.
class ControlLink {
public:
  using Receiver = std::function<void(const char *Data, std::size_t Size)>;

  /// Opens the listening socket; throws Error if the address is not usable.
  explicit ControlLink(const std::string &Address);
  ~ControlLink();
  ControlLink(const ControlLink &) = delete;
  ControlLink &operator=(const ControlLink &) = delete;

  /// Starts the link's own thread, which calls the receiver.
  void startReceiving(Receiver Receive);

  /// Ends the link's thread; messages can still be sent.
  void stopReceiving();

  /// Returns the listening address with the port that is in use.
  std::string address() const;

  /// Sends a message if the link to the peer has room; else it is dropped.
  void send(const std::string &Peer, const std::string &Message);

  /// Closes the connection to a peer; the next send() opens another.
  void reset(const std::string &Peer);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_CONTROL_LINK_H

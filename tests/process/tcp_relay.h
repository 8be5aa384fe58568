#ifndef LAGOONHITCH_TESTS_PROCESS_TCP_RELAY_H
#define LAGOONHITCH_TESTS_PROCESS_TCP_RELAY_H

/// \file
/// A TCP relay that injects network faults.

#include <chrono>
#include <memory>
#include <string>

namespace lagoonhitch {

/// Relays TCP connections to a target address, on its own thread. Its setters
/// and fault functions take effect asynchronously.
class TcpRelay {
public:
  TcpRelay();
  ~TcpRelay();
  TcpRelay(const TcpRelay &) = delete;
  TcpRelay &operator=(const TcpRelay &) = delete;

  /// Returns the `ip:port` that the relay listens on.
  const std::string &address() const;

  /// Sets the `ip:port` that new connections are relayed to.
  void setTarget(const std::string &Address);

  /// Drops all further traffic on the open connections, without closing them.
  /// New connections work.
  void dropTraffic();

  /// Drops all further traffic from the target on the open connections, without
  /// closing them. Requests still pass, and new connections work.
  void dropResponses();

  /// Delays each chunk of at most 16 KiB that the target sends on the open
  /// connections. Requests on them and new connections are not delayed.
  void delayResponses(std::chrono::milliseconds Delay);

  /// Resets the open connections.
  void reset();

  /// Refuses new connections until acceptConnections(). Open connections keep
  /// working.
  void refuseConnections();

  /// Accepts new connections, but relays nothing on them, until
  /// acceptConnections(). Open connections keep working.
  void ignoreConnections();

  /// Accepts and relays new connections again, and closes the ignored ones.
  void acceptConnections();

  /// Delays all further traffic, also on new connections.
  void setDelay(std::chrono::milliseconds Delay);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_TCP_RELAY_H

#ifndef LAGOONHITCH_TESTS_PROCESS_TCP_RELAY_H
#define LAGOONHITCH_TESTS_PROCESS_TCP_RELAY_H

/// \file
/// Something between two ends of a connection that can lose track of it.

#include <chrono>
#include <memory>
#include <string>

namespace lagoonhitch {

/// Passes bytes between connections, on its own thread. Connections that were
/// made silent stay open but pass nothing any more; new ones work.
class TcpRelay {
public:
  TcpRelay();
  ~TcpRelay();
  TcpRelay(const TcpRelay &) = delete;
  TcpRelay &operator=(const TcpRelay &) = delete;

  /// Returns the listening `ip:port`.
  std::string address() const;

  /// Sets the `ip:port` that connections are passed on to.
  void setTarget(const std::string &Address);

  /// Makes all present connections silent for good.
  void dropTraffic();

  /// Makes all present connections silent for good in the direction of the
  /// answers only.
  void dropResponses();

  /// Resets all present connections.
  void reset();

  /// Holds all bytes back for a span from now on.
  void setDelay(std::chrono::milliseconds Delay);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_TCP_RELAY_H

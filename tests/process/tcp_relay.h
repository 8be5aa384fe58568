#ifndef LAGOONHITCH_TESTS_PROCESS_TCP_RELAY_H
#define LAGOONHITCH_TESTS_PROCESS_TCP_RELAY_H

/// \file
/// Something between two ends of a connection that can lose track of it.

#include <memory>
#include <string>

namespace lagoonhitch {

/// Passes bytes between connections, on its own thread. After silence() the
/// connections of that time stay open but pass nothing any more; new ones
/// work.
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
  void silence();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_TCP_RELAY_H

#ifndef LAGOONHITCH_DAEMON_DAEMON_H
#define LAGOONHITCH_DAEMON_DAEMON_H

/// \file
/// Puts the parts of a daemon together.

#include "settings/daemon_settings.h"

#include <memory>

namespace lagoonhitch {

class Clock;

/// One daemon: its threads, sockets and services.
class Daemon {
public:
  /// Opens all addresses; throws Error if one is not usable.
  /// \param Process a random number that no other process has.
  Daemon(const Clock &Time, DaemonSettings Settings, std::uint64_t Process);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Serves until a stop is complete.
  void run();

  /// Starts a graceful shutdown: hands the shards over, finishes all requests
  /// and makes run() return. Callable from any thread.
  void stop();

  /// Makes run() return at once. Callable from any thread.
  void stopNow();

private:
  struct Parts;
  std::unique_ptr<Parts> Parts_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DAEMON_H

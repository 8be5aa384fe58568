#ifndef LAGOONHITCH_DAEMON_DAEMON_H
#define LAGOONHITCH_DAEMON_DAEMON_H

/// \file
/// Assembles the components of a daemon.

#include "settings/daemon_settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lagoonhitch {

class Clock;

/// A daemon with its sockets and services, all on one thread.
class Daemon {
public:
  /// Reads the settings anew; throws SettingsError.
  using SettingsReader = std::function<DaemonSettings()>;

  /// Opens all listening sockets; throws Error if an address is not usable.
  /// \param ReadSettings is used by reload().
  /// \param Process a random number that identifies this process.
  Daemon(const Clock &Time, DaemonSettings Settings,
         SettingsReader ReadSettings, std::uint64_t Process);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Serves requests until a shutdown is complete.
  void run();

  /// Starts a graceful shutdown; a second call stops at once. Callable from any
  /// thread.
  void stop();

  /// Reads the settings again and replaces the bounds; all other settings stay.
  /// Callable from any thread.
  void reload();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DAEMON_H

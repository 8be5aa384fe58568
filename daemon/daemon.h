#ifndef LAGOONHITCH_DAEMON_DAEMON_H
#define LAGOONHITCH_DAEMON_DAEMON_H

/// \file
/// Puts the parts of a daemon together.

#include "settings/daemon_settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lagoonhitch {

class Clock;

/// One daemon: its sockets and services, all on one thread.
class Daemon {
public:
  /// Reads the settings again; throws SettingsError.
  using SettingsReader = std::function<DaemonSettings()>;

  /// Opens all addresses; throws Error if one is not usable.
  /// \param Read is used by reload().
  /// \param Process a random number that no other process has.
  Daemon(const Clock &Time, DaemonSettings Settings,
         SettingsReader ReadSettings, std::uint64_t Process);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Serves until a stop is complete.
  void run();

  /// Starts a graceful shutdown; a second one ends at once. Callable from any
  /// thread.
  void stop();

  /// Reads the settings again. Callable from any thread.
  void reload();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DAEMON_H

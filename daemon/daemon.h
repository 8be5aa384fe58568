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

/// A daemon with its sockets and services. They all run on the thread that
/// calls run(), the serving thread.
class Daemon {
public:
  /// Reads the settings files and returns the settings; throws SettingsError if
  /// they are invalid or can't be read.
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

  /// Starts a graceful shutdown; further calls have no effect. Callable from
  /// any thread.
  void stop();

  /// Reads the settings again and replaces the bounds; all other settings stay.
  /// If the new settings are invalid, logs an event and keeps the bounds.
  /// Callable from any thread.
  void reload();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DAEMON_H

#ifndef LAGOONHITCH_DAEMON_HOST_DAEMON_H
#define LAGOONHITCH_DAEMON_HOST_DAEMON_H

/// \file
/// A daemon beside one upstream, whose configuration lies in the platform's
/// store.

#include "settings/host_settings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lagoonhitch {

class Clock;

/// One daemon: its sockets and services, all on one thread.
class HostDaemon {
public:
  /// Opens all addresses; throws Error if one is not usable.
  /// \param SettingsFile is read again by reload().
  /// \param Process a random number that no other process has.
  HostDaemon(const Clock &Time, HostSettings Settings, std::string SettingsFile,
             std::uint64_t Process);
  ~HostDaemon();
  HostDaemon(const HostDaemon &) = delete;
  HostDaemon &operator=(const HostDaemon &) = delete;

  /// Serves until a stop is complete.
  void run();

  /// Starts a graceful shutdown. Callable from any thread.
  void stop();

  /// Reads the settings file again. Callable from any thread.
  void reload();

private:
  struct Parts;
  std::unique_ptr<Parts> Parts_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_HOST_DAEMON_H

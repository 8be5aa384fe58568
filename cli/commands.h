#ifndef LAGOONHITCH_CLI_COMMANDS_H
#define LAGOONHITCH_CLI_COMMANDS_H

/// \file
/// The commands of the operators' command-line program.

#include <iosfwd>
#include <string>
#include <vector>

namespace lagoonhitch {

class Clock;

/// The parsed command line.
struct CommandLine {
  /// The positional arguments: the command and its arguments.
  std::vector<std::string> Arguments_;
  /// `ip:port` of the daemon's admin interface.
  std::string AdminAddress_;
  /// Base file of the settings.
  std::string SettingsFile_;
  std::string OverlayFile_;
  std::string HostFile_;
  /// Settings file of a host whose configuration is in the platform's store; if
  /// set, the other files are ignored.
  std::string PlatformFile_;
  /// File with the manifest in force; empty for none.
  std::string InForceFile_;
  /// Number of the first audit entry to print.
  std::uint64_t Since_ = 0;
  /// Whether to print JSON instead of text.
  bool Json_ = false;
};

/// The command succeeded.
inline constexpr int ExitSuccess = 0;
/// The command failed, was rejected or found faults.
inline constexpr int ExitFailed = 1;
/// The command line is invalid.
inline constexpr int ExitUsage = 2;

/// Runs a command, prints its results to \p Out and returns the exit code.
/// Throws Error if a daemon can't be reached or rejects the request, or if a
/// settings file can't be read.
int runCommand(const Clock &Time, const CommandLine &Line, std::ostream &Out);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CLI_COMMANDS_H

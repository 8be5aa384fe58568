#ifndef LAGOONHITCH_CLI_COMMANDS_H
#define LAGOONHITCH_CLI_COMMANDS_H

/// \file
/// The operators' commands.

#include <iosfwd>
#include <string>
#include <vector>

namespace lagoonhitch {

class Clock;

/// What the command line says.
struct CommandLine {
  /// The words that are no flags.
  std::vector<std::string> Arguments_;
  std::string AdminAddress_;
  std::string SettingsFile_;
  std::string OverlayFile_;
  std::string HostFile_;
  /// File of a host whose configuration lies in the store.
  std::string PlatformFile_;
  std::uint64_t Since_ = 0;
  bool Json_ = false;
};

/// Exit codes of the program.
inline constexpr int ExitSuccess = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

/// Runs a command and returns the exit code. Throws Error if it fails.
int runCommand(const Clock &Time, const CommandLine &Line, std::ostream &Out);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CLI_COMMANDS_H

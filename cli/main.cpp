/// \file
/// Entry point of lagoonhitch, the operators' command-line program.

#include "cli/commands.h"
#include "core/error.h"
#include "platform/monotonic_clock.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <string>

ABSL_FLAG(std::string, admin, "127.0.0.1:7500", "admin address of a daemon");
ABSL_FLAG(std::string, settings, "", "base settings file (JSON)");
ABSL_FLAG(std::string, overlay, "", "overlay file of the site (JSON)");
ABSL_FLAG(std::string, host, "", "settings file of a host (JSON)");
ABSL_FLAG(std::string, platform, "",
          "settings file of a host (JSON) whose configuration is in the "
          "platform's store");
ABSL_FLAG(std::string, against, "",
          "file with the manifest in force (JSON), to compare with");
ABSL_FLAG(std::uint64_t, since, 0, "number of the first audit entry to print");
ABSL_FLAG(bool, json, false, "print JSON");

namespace {

constexpr const char *Usage =
    "queries daemons and checks settings files and manifests.\n\n"
    "  lagoonhitch status\n"
    "  lagoonhitch explain SERVICE KEY\n"
    "  lagoonhitch audit [--since=NUMBER]\n"
    "  lagoonhitch settings check --settings=FILE [--overlay=FILE] "
    "[--host=FILE]\n"
    "  lagoonhitch settings check --platform=FILE\n"
    "  lagoonhitch manifest check FILE [--against=FILE]\n\n"
    "Exit codes: 0 success, 1 rejected or failed, 2 invalid usage.";

lagoonhitch::CommandLine readCommandLine(int Argc, char **Argv) {
  const std::vector<char *> Arguments = absl::ParseCommandLine(Argc, Argv);
  lagoonhitch::CommandLine Line;
  Line.Arguments_.assign(Arguments.begin() + 1, Arguments.end());
  Line.AdminAddress_ = absl::GetFlag(FLAGS_admin);
  Line.SettingsFile_ = absl::GetFlag(FLAGS_settings);
  Line.OverlayFile_ = absl::GetFlag(FLAGS_overlay);
  Line.HostFile_ = absl::GetFlag(FLAGS_host);
  Line.PlatformFile_ = absl::GetFlag(FLAGS_platform);
  Line.InForceFile_ = absl::GetFlag(FLAGS_against);
  Line.Since_ = absl::GetFlag(FLAGS_since);
  Line.Json_ = absl::GetFlag(FLAGS_json);
  return Line;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(Usage);
  absl::FlagsUsageConfig Config;
  Config.version_string = [] { return "lagoonhitch 0.1.0\n"; };
  Config.contains_help_flags = [](absl::string_view File) {
    return File.find("main.cpp") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(Config);
  const lagoonhitch::CommandLine Line = readCommandLine(Argc, Argv);
  const lagoonhitch::MonotonicClock Time;
  try {
    const int Code = lagoonhitch::runCommand(Time, Line, std::cout);
    if (Code == lagoonhitch::ExitUsage)
      std::cerr << "lagoonhitch " << Usage << "\n";
    return Code;
  } catch (const lagoonhitch::Error &Failure) {
    if (Line.Json_)
      std::cout << nlohmann::json(
                       {{"kind", lagoonhitch::errorKindName(Failure.kind())},
                        {"message", Failure.what()},
                        {"remedy", Failure.remedy()}})
                       .dump()
                << "\n";
    else
      std::cerr << "lagoonhitch: " << Failure.what()
                << "\nremedy: " << Failure.remedy() << "\n";
    return lagoonhitch::ExitFailed;
  }
}

/// \file
/// Entry point of the daemon lagoonhitchd.

#include "core/error.h"
#include "daemon/daemon.h"
#include "platform/monotonic_clock.h"
#include "settings/host_settings.h"
#include "settings/settings_load.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <random>
#include <string>
#include <thread>

ABSL_FLAG(std::string, settings, "", "base settings file (JSON)");
ABSL_FLAG(std::string, overlay, "", "overlay file of the site (JSON)");
ABSL_FLAG(std::string, host, "", "settings file of this host (JSON)");
ABSL_FLAG(std::string, platform, "",
          "settings file of this host (JSON) if the configuration is in the "
          "platform's store; no other file is read");

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitBadSettings = 2;

std::uint64_t randomProcessNumber() {
  std::random_device Source;
  // Below 2^63, since the number is also stored in signed fields.
  return ((static_cast<std::uint64_t>(Source()) << 32) | Source()) >> 1;
}

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

/// Reloads the settings on SIGHUP. Any other signal starts a graceful shutdown,
/// unless one is in progress.
void waitForSignals(lagoonhitch::Daemon &Server) {
  const sigset_t Signals = stopSignals();
  for (;;) {
    int Number = 0;
    sigwait(&Signals, &Number);
    if (Number == SIGHUP)
      Server.reload();
    else
      Server.stop();
  }
}

/// Returns the memory of each large body to the system when it is freed. By
/// default, the allocator keeps ever larger ones, and memory in between.
void limitAllocator() {
  constexpr int LargeBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, LargeBytes);
  mallopt(M_TRIM_THRESHOLD, 8 * LargeBytes);
}

lagoonhitch::DaemonSettings readSettings() {
  const std::string Platform = absl::GetFlag(FLAGS_platform);
  if (!Platform.empty())
    return lagoonhitch::loadHostSettings(Platform);
  lagoonhitch::SettingsFiles Files;
  Files.Base_ = absl::GetFlag(FLAGS_settings);
  Files.Overlay_ = absl::GetFlag(FLAGS_overlay);
  Files.Host_ = absl::GetFlag(FLAGS_host);
  return lagoonhitch::parseSettings(lagoonhitch::mergeSettings(Files));
}

void serve() {
  const lagoonhitch::MonotonicClock Time;
  lagoonhitch::Daemon Server(Time, readSettings(), readSettings,
                             randomProcessNumber());
  std::thread Signals([&Server] { waitForSignals(Server); });
  Signals.detach();
  Server.run();
  // The process keeps no state, so destructors would only delay its exit.
  std::_Exit(0);
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(
      "routes requests, and owns keys for the upstream on its host.\n"
      "lagoonhitchd --settings=FILE --overlay=FILE --host=FILE\n"
      "lagoonhitchd --platform=FILE");
  absl::FlagsUsageConfig Usage;
  Usage.version_string = [] { return "lagoonhitchd 0.1.0\n"; };
  Usage.contains_help_flags = [](absl::string_view File) {
    return File.find("main.cpp") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(Usage);
  absl::ParseCommandLine(Argc, Argv);
  limitAllocator();
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    serve();
    return 0;
  } catch (const lagoonhitch::Error &Failure) {
    std::cerr << "lagoonhitchd: " << Failure.what()
              << "\nremedy: " << Failure.remedy() << "\n";
    return Failure.kind() == lagoonhitch::ErrorKind::Settings ? ExitBadSettings
                                                              : ExitFailed;
  }
}

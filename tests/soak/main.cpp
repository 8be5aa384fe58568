/// \file
/// The program `soak`: runs real daemons and stand-ins on loopback under faults
/// that are determined by a seed, and checks what callers and upstreams
/// observe.

#include "platform/monotonic_clock.h"
#include "tests/soak/soak_round.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <stdexcept>

ABSL_FLAG(std::uint64_t, seed, 1, "seed that determines the faults");
ABSL_FLAG(std::uint32_t, rounds, 2,
          "number of rounds, each about half a minute long");
ABSL_FLAG(std::uint32_t, hosts, 6,
          "number of hosts, each with a daemon and an upstream");

namespace {

using namespace lagoonhitch;

/// Maximum number of calls per round; keeps call numbers of rounds distinct.
constexpr std::uint64_t MaxCallsPerRound = 10'000'000;
/// Maximum number of violations printed per round.
constexpr std::size_t MaxPrintedViolations = 20;

void printViolations(const Violations &RoundViolations) {
  for (std::size_t Index = 0; Index < RoundViolations.size(); ++Index)
    if (Index < MaxPrintedViolations)
      std::cout << "VIOLATION: " << RoundViolations[Index] << "\n";
  std::cout << RoundViolations.size() << " violations\n" << std::flush;
}

/// Runs all rounds and returns whether none had a violation.
bool runSoak(std::uint64_t Seed, std::uint32_t Rounds, std::uint32_t Hosts) {
  const MonotonicClock Time;
  SiteOptions Options;
  Options.Hosts_ = Hosts;
  Options.UseRelays_ = true;
  // Both ways to grant keys are covered: odd seeds use heartbeat replies.
  Options.UseHeartbeatReplies_ = Seed % 2 == 1;
  Site TestSite(Time, Options);
  constexpr std::chrono::seconds StartLimit{30};
  if (!TestSite.waitUntilServing(StartLimit))
    throw std::runtime_error("the test site did not start serving in time");
  History RecordedHistory;
  bool Passed = true;
  for (std::uint32_t Round = 0; Round < Rounds; ++Round) {
    const FaultPlan Plan = generateFaultPlan(Seed, Round, Hosts);
    std::cout << "seed " << Seed << ", round " << Round << "\n"
              << describe(Plan) << std::flush;
    SoakRound Current(Time, TestSite, Plan, Round * MaxCallsPerRound + 1,
                      RecordedHistory);
    const Violations RoundViolations = Current.run();
    const KeptConnections &Kept = Current.keptConnections();
    std::cout << Current.callCount() << " calls, " << Kept.responses()
              << " on kept connections (" << Kept.closedWhileIdle()
              << " closed while idle, " << Kept.lost().size()
              << " requests without a response), ";
    printViolations(RoundViolations);
    Passed = Passed && RoundViolations.empty();
  }
  return Passed;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage("soak [flags]");
  absl::ParseCommandLine(Argc, Argv);
  try {
    return runSoak(absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_rounds),
                   absl::GetFlag(FLAGS_hosts))
               ? 0
               : 1;
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return 2;
  }
}

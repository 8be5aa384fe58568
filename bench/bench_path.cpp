/// \file
/// Measures the latency and processor time that one or two daemons on the path
/// add to a request.

#include "bench/open_loop_load.h"
#include "bench/process_usage.h"
#include "platform/monotonic_clock.h"
#include "tests/process/site.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iomanip>
#include <iostream>

ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::uint32_t, seconds, 4, "duration of each load in seconds");

namespace {

using namespace lagoonhitch;
using Json = nlohmann::json;

/// A path of requests to an upstream.
struct RequestPath {
  /// As printed.
  const char *Name_;
  std::string Address_;
};

/// Returns request targets whose keys are owned by a host.
std::vector<std::string> targetsOwnedBy(const Site &TestSite,
                                        std::uint32_t Host) {
  std::vector<std::string> Targets;
  for (int Number = 0; Targets.size() < 50; ++Number) {
    const std::string Key = "k" + std::to_string(Number);
    if (TestSite.ownerOf(0, Key) == Host)
      Targets.push_back("/katalog/" + Key);
  }
  return Targets;
}

/// Sends a load over a path and returns a result row.
Json measure(const Clock &Time, Site &TestSite, const RequestPath &Path,
             const std::vector<std::string> &Targets, std::uint32_t Rate) {
  OpenLoopLoadOptions Options;
  Options.Address_ = Path.Address_;
  Options.Targets_ = Targets;
  Options.RatePerSecond_ = Rate;
  Options.Duration_ = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  const double Before =
      cpuSeconds(TestSite.daemon(0).id()) + cpuSeconds(TestSite.daemon(1).id());
  const OpenLoopLoadResult Result = runOpenLoopLoad(Time, Options);
  const double Used = cpuSeconds(TestSite.daemon(0).id()) +
                      cpuSeconds(TestSite.daemon(1).id()) - Before;
  const double Requests =
      static_cast<double>(Result.Latency_.count() + Result.Failed_);
  return {{"way", Path.Name_},
          {"rate", Rate},
          {"answered", Result.Latency_.count()},
          {"failed", Result.Failed_},
          {"p50_us", Result.Latency_.percentile(50).count()},
          {"p99_us", Result.Latency_.percentile(99).count()},
          {"p999_us", Result.Latency_.percentile(99.9).count()},
          {"cpu_us", Used * 1e6 / Requests}};
}

void printRow(const Json &Row) {
  std::cout << std::left << std::setw(10) << Row.value("way", "") << std::right
            << std::setw(7) << Row.value("rate", 0) << std::setw(9)
            << Row.value("answered", 0) << std::setw(8)
            << Row.value("failed", 0) << std::setw(9) << Row.value("p50_us", 0)
            << std::setw(9) << Row.value("p99_us", 0) << std::setw(9)
            << Row.value("p999_us", 0) << std::setw(10) << std::fixed
            << std::setprecision(1) << Row.value("cpu_us", 0.0) << "\n";
}

} // namespace

int main(int Argc, char **Argv) {
  absl::ParseCommandLine(Argc, Argv);
  const MonotonicClock Time;
  SiteOptions Options;
  Options.RecordRuns_ = false;
  Site TestSite(Time, Options);
  if (!TestSite.waitUntilServing(std::chrono::seconds(20)))
    return 1;
  const std::vector<std::string> Targets = targetsOwnedBy(TestSite, 0);
  const RequestPath Paths[] = {{"direct", TestSite.upstreamAddress(0)},
                               {"one hop", TestSite.callersAddress(0)},
                               {"two hops", TestSite.callersAddress(1)}};
  // Warm-up, since a new upstream gets its full load only gradually.
  for (const RequestPath &Path : Paths)
    measure(Time, TestSite, Path, Targets, 500);
  Json Rows = Json::array();
  if (!absl::GetFlag(FLAGS_json))
    std::cout << "way          rate answered  failed   p50 us   p99 us p99.9 us"
                 "    cpu us\n";
  for (const std::uint32_t Rate : {500U, 1000U, 2000U, 5000U}) {
    for (const RequestPath &Path : Paths) {
      Rows.push_back(measure(Time, TestSite, Path, Targets, Rate));
      if (!absl::GetFlag(FLAGS_json))
        printRow(Rows.back());
    }
  }
  if (absl::GetFlag(FLAGS_json))
    std::cout << Rows.dump() << "\n";
  return 0;
}

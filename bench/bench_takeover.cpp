/// \file
/// Time from the loss of an owner to the first answer for one of its keys.

#include "bench/latency_table.h"
#include "net/blocking_http.h"
#include "platform/monotonic_clock.h"
#include "tests/process/site.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::uint32_t, losses, 210, "number of losses");
ABSL_FLAG(std::uint32_t, sites, 3, "sites that run side by side");
ABSL_FLAG(bool, trace, false, "print each call that was not served");

namespace {

using namespace lagoonhitch;
using std::chrono::milliseconds;

/// The state of the log during a loss.
struct LogState {
  const char *Name_;
  nlohmann::json Mode_;
};

const std::vector<LogState> &logStates() {
  static const std::vector<LogState> States = {
      {"up", {{"down", false}, {"slow_ms", 0}}},
      {"slow", {{"down", false}, {"slow_ms", 500}}},
      {"down", {{"down", true}, {"slow_ms", 0}}}};
  return States;
}

/// Times by state of the log, shared by the sites' threads.
struct Results {
  std::mutex Mutex_;
  std::vector<LatencyTable> Tables_ =
      std::vector<LatencyTable>(logStates().size());
  std::uint32_t NeverServed_ = 0;
};

bool isServed(const Clock &Time, const std::string &Address,
              const std::string &Key) {
  HttpRequest Request;
  Request.Target_ = "/katalog/" + Key;
  const HttpResult Result =
      callBlocking(Time, Address, std::move(Request), std::chrono::seconds(4));
  const bool Served =
      Result.Status_ == HttpStatus::Answered && Result.Response_.Status_ == 200;
  if (!Served && absl::GetFlag(FLAGS_trace))
    std::cerr << std::chrono::duration_cast<milliseconds>(
                     Time.wallNow().time_since_epoch())
                     .count()
              << " " << Key << " status " << Result.Response_.Status_ << " end "
              << static_cast<int>(Result.Status_) << " "
              << Result.Response_.Body_ << "\n";
  return Served;
}

/// \returns the time until the key was served, or zero if it never was.
Duration loseOwner(const Clock &Time, Site &Bench, std::uint32_t Owner,
                   const std::string &Key) {
  const std::string Asked = Bench.callers((Owner + 1) % 6);
  Bench.daemon(Owner).signal(SIGKILL);
  const Instant LostAt = Time.now();
  while (Time.now() - LostAt < std::chrono::seconds(10))
    if (isServed(Time, Asked, Key))
      return Time.now() - LostAt;
  return Duration::zero();
}

void runSite(const Clock &Time, std::uint32_t First, std::uint32_t Step,
             Results &Shared) {
  SiteOptions Options;
  Options.RecordRuns_ = false;
  Site Bench(Time, Options);
  for (std::uint32_t Loss = First; Loss < absl::GetFlag(FLAGS_losses);
       Loss += Step) {
    if (!Bench.waitUntilServing(std::chrono::seconds(30))) {
      std::cerr << "a site did not recover\n";
      return;
    }
    const std::size_t StateIndex = (Loss / Step) % logStates().size();
    const std::string Key = "k" + std::to_string(Loss);
    const std::uint32_t Owner = Bench.ownerOf(0, Key);
    Bench.setLogMode(logStates()[StateIndex].Mode_);
    std::this_thread::sleep_for(milliseconds(50 + Loss * 37 % 300));
    const Duration Span = loseOwner(Time, Bench, Owner, Key);
    constexpr std::chrono::seconds Bound{2};
    if (Span > Bound && absl::GetFlag(FLAGS_trace))
      std::cerr << Key << " took " << toMillis(Span).count() << " ms, owner h"
                << Owner << ": " << Bench.explain((Owner + 1) % 6, Key).dump()
                << "\n";
    Bench.setLogMode(logStates()[0].Mode_);
    Bench.daemon(Owner).wait();
    Bench.restartDaemon(Owner);
    const std::lock_guard<std::mutex> Lock(Shared.Mutex_);
    if (Span == Duration::zero())
      ++Shared.NeverServed_;
    else
      Shared.Tables_[StateIndex].add(Span);
  }
}

} // namespace

int main(int Argc, char **Argv) {
  absl::ParseCommandLine(Argc, Argv);
  const MonotonicClock Time;
  Results Shared;
  std::vector<std::thread> Threads;
  const std::uint32_t Sites = absl::GetFlag(FLAGS_sites);
  for (std::uint32_t Index = 0; Index < Sites; ++Index)
    Threads.emplace_back([&Time, Index, Sites, &Shared] {
      runSite(Time, Index, Sites, Shared);
    });
  for (std::thread &One : Threads)
    One.join();
  nlohmann::json Rows = nlohmann::json::array();
  for (std::size_t Index = 0; Index < logStates().size(); ++Index) {
    const LatencyTable &Table = Shared.Tables_[Index];
    Rows.push_back({{"log", logStates()[Index].Name_},
                    {"losses", Table.count()},
                    {"p50_ms", Table.percentile(50).count() / 1000},
                    {"p99_ms", Table.percentile(99).count() / 1000},
                    {"max_ms", Table.percentile(100).count() / 1000}});
  }
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << Rows.dump() << "\n";
    return 0;
  }
  std::cout << "log    losses  p50 ms  p99 ms  max ms\n";
  for (const nlohmann::json &Row : Rows)
    std::cout << std::left << std::setw(6) << Row.value("log", "") << std::right
              << std::setw(7) << Row.value("losses", 0) << std::setw(8)
              << Row.value("p50_ms", 0) << std::setw(8)
              << Row.value("p99_ms", 0) << std::setw(8)
              << Row.value("max_ms", 0) << "\n";
  std::cout << "never served within 10 s: " << Shared.NeverServed_ << "\n";
  return Shared.NeverServed_ == 0 ? 0 : 1;
}

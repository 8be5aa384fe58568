/// \file
/// Runs a complete site under load for a few seconds and prints which upstream
/// ran which requests, and their outcomes.

#include "platform/monotonic_clock.h"
#include "tests/history/checker.h"
#include "tests/process/load_generator.h"
#include "tests/process/run_files.h"
#include "tests/process/site.h"

#include <iomanip>
#include <iostream>
#include <map>

namespace {

using namespace lagoonhitch;

/// Key of an output row: the kind of request, and the upstream that ran it with
/// the outcome.
struct DemoRow {
  std::string RequestName_;
  std::string UpstreamAndOutcome_;

  auto operator<=>(const DemoRow &) const = default;
};

std::string requestName(const LoadGenerator::Call &Call) {
  const bool Katalog = Call.Target_.starts_with("/katalog");
  if (Call.Target_.ends_with("/orders"))
    return "order (once)";
  if (Call.Target_.ends_with("/approvals"))
    return "approval (once)";
  return Katalog ? "design (repeatable)" : "proof (repeatable)";
}

void printTable(const LoadGenerator &Load) {
  std::map<DemoRow, std::size_t> Rows;
  for (const LoadGenerator::Call &Call : Load.calls())
    ++Rows[{requestName(Call),
            Call.Instance_.empty()
                ? std::string("- ") + outcomeName(Call.Outcome_)
                : Call.Instance_ + " " + outcomeName(Call.Outcome_)}];
  std::cout << std::left << std::setw(22) << "request" << std::setw(20)
            << "upstream, outcome"
            << "answers\n";
  for (const auto &[Row, Count] : Rows)
    std::cout << std::setw(22) << Row.RequestName_ << std::setw(20)
              << Row.UpstreamAndOutcome_ << Count << "\n";
}

} // namespace

int main() {
  const MonotonicClock Time;
  std::cout << "starting a store, 6 daemons and 6 upstreams in 3 "
               "availability zones\n";
  Site DemoSite(Time, SiteOptions());
  if (!DemoSite.waitUntilServing(std::chrono::seconds(20))) {
    std::cerr << "the site did not start serving within 20 s; "
                 "check that its ports are free\n";
    return 1;
  }
  LoadGeneratorOptions Options;
  for (std::uint32_t Host = 0; Host < 6; ++Host)
    Options.Addresses_.push_back(DemoSite.callersAddress(Host));
  LoadGenerator Load(Time, Options);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  Load.finish();
  printTable(Load);
  History Events;
  Events.Answers_ = Load.answers();
  addRuns(DemoSite.runFiles(), Events);
  const Violations Found = checkAll(Events);
  for (const std::string &Violation : Found)
    std::cout << "violation: " << Violation << "\n";
  std::cout << Load.calls().size() << " answers, " << Events.Runs_.size()
            << " runs, " << Found.size() << " violations\n";
  return Found.empty() ? 0 : 1;
}

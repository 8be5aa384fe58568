/// \file
/// A short run of a whole site: what ran where and with which outcome.

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

/// What callers sent and how it ended.
struct DemoRow {
  std::string Request_;
  std::string Ran_;

  auto operator<=>(const DemoRow &) const = default;
};

std::string requestName(const LoadGenerator::Call &One) {
  const bool Katalog = One.Target_.starts_with("/katalog");
  if (One.Target_.ends_with("/orders"))
    return "order (once)";
  if (One.Target_.ends_with("/approvals"))
    return "approval (once)";
  return Katalog ? "design (repeatable)" : "proof (repeatable)";
}

void printTable(const LoadGenerator &Load) {
  std::map<DemoRow, std::size_t> Rows;
  for (const LoadGenerator::Call &One : Load.calls())
    ++Rows[{requestName(One),
            One.Instance_.empty()
                ? std::string("- ") + outcomeName(One.Outcome_)
                : One.Instance_ + " " + outcomeName(One.Outcome_)}];
  std::cout << std::left << std::setw(22) << "request" << std::setw(20)
            << "upstream, outcome"
            << "answers\n";
  for (const auto &[Row, Count] : Rows)
    std::cout << std::setw(22) << Row.Request_ << std::setw(20) << Row.Ran_
              << Count << "\n";
}

} // namespace

int main() {
  const MonotonicClock Time;
  std::cout << "starting a store, 6 daemons and 6 upstreams in 3 "
               "availability zones\n";
  Site Demo(Time, SiteOptions());
  if (!Demo.waitUntilServing(std::chrono::seconds(20))) {
    std::cerr << "the site does not serve; look at its ports\n";
    return 1;
  }
  LoadGeneratorOptions Options;
  for (std::uint32_t Host = 0; Host < 6; ++Host)
    Options.Addresses_.push_back(Demo.callersAddress(Host));
  LoadGenerator Load(Time, Options);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  Load.finish();
  printTable(Load);
  History Events;
  Events.Answers_ = Load.answers();
  addRuns(Demo.runFiles(), Events);
  const Violations Found = checkAll(Events);
  for (const std::string &One : Found)
    std::cout << "violation: " << One << "\n";
  std::cout << Load.calls().size() << " answers, " << Events.Runs_.size()
            << " runs, " << Found.size() << " violations\n";
  return Found.empty() ? 0 : 1;
}

#ifndef LAGOONHITCH_BENCH_DECISIONS_SCENARIOS_H
#define LAGOONHITCH_BENCH_DECISIONS_SCENARIOS_H

/// \file
/// The scenarios of bench_decisions and the bounds that their results must
/// meet.

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Median and worst value of a figure over several seeds, for one scenario and
/// one policy.
struct ScenarioRow {
  std::string Scenario_;
  std::string Policy_;
  std::string Figure_;
  double Median_ = 0;
  double Worst_ = 0;
  /// The bound that the users require of the current policy; zero for none.
  double Bound_ = 0;
  /// Whether the bound is a lower bound.
  bool IsLowerBound_ = false;
  /// The seed that gave the worst value.
  std::uint64_t WorstSeed_ = 0;
};

/// Returns the names of all scenarios.
std::vector<std::string> scenarioNames();

/// Runs a scenario with consecutive seeds.
/// \returns one row per policy and figure; none if there is no such scenario.
std::vector<ScenarioRow> runScenario(const std::string &Name,
                                     std::uint64_t FirstSeed,
                                     std::uint32_t Seeds);

/// Returns whether a row meets its bound. Rows without a bound always do.
bool meetsBound(const ScenarioRow &Row);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_SCENARIOS_H

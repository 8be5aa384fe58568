#ifndef LAGOONHITCH_BENCH_DECISIONS_SCENARIOS_H
#define LAGOONHITCH_BENCH_DECISIONS_SCENARIOS_H

/// \file
/// The scenarios of the decision bench and their bounds.

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// One figure of one scenario under one policy, over several seeds.
struct ScenarioRow {
  std::string Scenario_;
  std::string Policy_;
  std::string Figure_;
  double Median_ = 0;
  double Worst_ = 0;
  /// The users' bound, for our policy; zero for none.
  double Bound_ = 0;
  /// Whether the figure must not fall below the bound, instead of exceed it.
  bool IsLowerBound_ = false;
  std::uint64_t WorstSeed_ = 0;
};

/// Returns the names of all scenarios.
std::vector<std::string> scenarioNames();

/// Runs a scenario with several seeds from a first one on.
std::vector<ScenarioRow> runScenario(const std::string &Name,
                                     std::uint64_t FirstSeed,
                                     std::uint32_t Seeds);

/// Returns whether a row meets its bound; rows without one do.
bool meetsBound(const ScenarioRow &Row);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_SCENARIOS_H

#ifndef LAGOONHITCH_BENCH_DECISIONS_SERVICE_SIMULATION_H
#define LAGOONHITCH_BENCH_DECISIONS_SERVICE_SIMULATION_H

/// \file
/// One run of a shared service under a policy.

#include "bench/baseline/retry_budget.h"
#include "bench/decisions/event_queue.h"
#include "bench/decisions/fake_upstream.h"
#include "bench/latency_samples.h"
#include "settings/request_rule.h"

#include <array>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Whose decisions are made: the daemons', those before the platform, or the
/// earlier admission with a simple choice.
enum class PolicyKind {
  Ours,
  Earlier,
  Random,
  RoundRobin,
  LeastInFlight,
  TwoChoices
};

/// Returns a policy's name.
const char *policyName(PolicyKind Policy);

/// What a run consists of.
struct ServiceSimulationOptions {
  std::vector<FakeUpstreamOptions> Upstreams_;
  std::uint32_t Zones_ = 3;
  std::chrono::microseconds ZoneDelay_{500};
  /// Requests a second, before OverloadFrom_ and from then on.
  double Rate_ = 1000;
  double OverloadRate_ = 0;
  std::chrono::milliseconds OverloadFrom_{0};
  std::chrono::milliseconds Duration_{10000};
  /// Deadlines by priority, low to high.
  std::array<std::chrono::milliseconds, PriorityCount> Deadlines_ = {
      std::chrono::milliseconds(2000), std::chrono::milliseconds(2000),
      std::chrono::milliseconds(2000)};
  /// Whether moments of slowness happen: one upstream 20 times slower for 300
  /// ms, once a second.
  bool Stragglers_ = false;
  /// When upstream 0 turns cold; zero for never.
  std::chrono::milliseconds ColdAt_{0};
  /// When errors begin and end, and how many in a hundred.
  std::chrono::milliseconds ErrorsFrom_{0};
  std::chrono::milliseconds ErrorsUntil_{0};
  std::uint32_t ErrorPercent_ = 0;
  /// Whether the owner side limits what it admits, or passes all on.
  bool UseAdmission_ = true;
  /// Whether retries are bounded by a budget, or three for each request.
  bool UseRetryBudget_ = true;
  PolicyKind Policy_ = PolicyKind::Ours;
  std::uint64_t Seed_ = 1;
};

/// What a run has shown.
struct ServiceSimulationResult {
  std::array<LatencySamples, PriorityCount> Latency_;
  std::array<std::uint64_t, PriorityCount> Sent_{};
  std::array<std::uint64_t, PriorityCount> Answered_{};
  std::uint64_t Rejected_ = 0;
  std::uint64_t Attempts_ = 0;
  std::uint64_t ErrorsAfterFault_ = 0;
  /// Highest utilisation over the mean by capacity.
  double Imbalance_ = 0;
  /// Answered in time a second, from OverloadFrom_ on.
  double Goodput_ = 0;
  /// What all upstreams can do a second.
  double Capacity_ = 0;
  /// Requests that the cold upstream had to shed.
  std::uint64_t ShedByCold_ = 0;
  /// Part of the fair share that upstream 0 has in the last second.
  double ShareAtEnd_ = 0;
};

/// Runs a service under a virtual clock.
ServiceSimulationResult
simulateService(const ServiceSimulationOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_SERVICE_SIMULATION_H

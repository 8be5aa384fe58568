#ifndef LAGOONHITCH_BENCH_DECISIONS_SERVICE_SIMULATION_H
#define LAGOONHITCH_BENCH_DECISIONS_SERVICE_SIMULATION_H

/// \file
/// Simulates a shared service under one policy.

#include "bench/baseline/retry_budget.h"
#include "bench/decisions/event_queue.h"
#include "bench/decisions/fake_upstream.h"
#include "bench/latency_samples.h"
#include "settings/request_rule.h"

#include <array>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The policy of a simulation: the daemon's, the load balancing and admission
/// of bench/baseline, or the admission of bench/baseline with a simple load
/// balancing algorithm.
enum class PolicyKind {
  Current,
  Baseline,
  Random,
  RoundRobin,
  LeastInFlight,
  TwoChoices
};

/// Returns the name of a policy, as it is printed.
const char *policyName(PolicyKind Policy);

/// Settings of a simulation.
struct ServiceSimulationOptions {
  std::vector<FakeUpstreamOptions> Upstreams_;
  /// Number of daemons; the first ones have the upstreams. Zero for one daemon
  /// per upstream. With more, only PolicyKind::Current is supported.
  std::size_t Daemons_ = 0;
  std::uint32_t Zones_ = 3;
  /// One-way network delay between zones.
  std::chrono::microseconds ZoneDelay_{500};
  /// HostChoiceOptions::ZoneCost_; if not set, the delay to another zone and
  /// back.
  std::optional<std::chrono::milliseconds> ZoneCost_;
  /// Number of zones, from zone 0 on, in which requests enter; zero for all.
  std::uint32_t CallerZones_ = 0;
  /// Time between two load digests of a daemon.
  std::chrono::milliseconds DigestInterval_{250};
  /// Whether each daemon receives the digests of a sample of hosts, as in a
  /// site, at times that differ from host to host. Otherwise all receive all
  /// digests, at the same time.
  bool SampleDigests_ = false;
  /// Requests per second.
  double Rate_ = 1000;
  /// Requests per second from OverloadFrom_ on; zero for no overload.
  double OverloadRate_ = 0;
  std::chrono::milliseconds OverloadFrom_{0};
  /// Length of the simulation in virtual time.
  std::chrono::milliseconds Duration_{10000};
  /// Deadlines by priority, low to high.
  std::array<std::chrono::milliseconds, PriorityCount> Deadlines_ = {
      std::chrono::milliseconds(2000), std::chrono::milliseconds(2000),
      std::chrono::milliseconds(2000)};
  /// Whether once a second a random upstream is 20 times slower for 300 ms.
  bool Stragglers_ = false;
  /// When upstream 0 turns cold; zero for never.
  std::chrono::milliseconds ColdAt_{0};
  /// When upstreams start and stop returning errors, and the percentage of
  /// errors.
  std::chrono::milliseconds ErrorsFrom_{0};
  std::chrono::milliseconds ErrorsUntil_{0};
  std::uint32_t ErrorPercent_ = 0;
  /// Whether target hosts apply admission control. Otherwise they send every
  /// request to the upstream at once.
  bool UseAdmission_ = true;
  /// Whether retries are limited by a retry budget. Otherwise each request has
  /// up to three retries.
  bool UseRetryBudget_ = true;
  PolicyKind Policy_ = PolicyKind::Current;
  std::uint64_t Seed_ = 1;
};

/// Results of a simulation. Arrays are indexed by priority, low to high.
struct ServiceSimulationResult {
  std::array<LatencySamples, PriorityCount> Latency_;
  std::array<std::uint64_t, PriorityCount> Sent_{};
  std::array<std::uint64_t, PriorityCount> Answered_{};
  /// Requests that failed because their last attempt was rejected.
  std::uint64_t Rejected_ = 0;
  /// First attempts and retries.
  std::uint64_t Attempts_ = 0;
  /// Requests that failed with an error more than 2 s after ErrorsUntil_.
  std::uint64_t ErrorsAfterFault_ = 0;
  /// Attempts that arrived at the busiest upstream, divided by the mean of all
  /// upstreams.
  double BusiestToMean_ = 0;
  /// The highest such ratio of a single second.
  double BusiestToMeanInSecond_ = 0;
  /// Time in the admission queue, of requests that were started.
  LatencySamples QueueTime_;
  /// Highest utilisation of an upstream, divided by the capacity-weighted mean.
  double Imbalance_ = 0;
  /// Requests answered within their deadline, per second, from OverloadFrom_
  /// on.
  double Goodput_ = 0;
  /// Requests per second that all upstreams together can handle.
  double Capacity_ = 0;
  /// Requests that upstream 0 has shed while cold.
  std::uint64_t ShedByCold_ = 0;
  /// Successful answers of upstream 0 in the last second, divided by the mean
  /// of all upstreams.
  double ShareAtEnd_ = 0;
};

/// Runs a simulation in virtual time.
ServiceSimulationResult
simulateService(const ServiceSimulationOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_SERVICE_SIMULATION_H

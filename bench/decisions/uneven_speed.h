#ifndef LAGOONHITCH_BENCH_DECISIONS_UNEVEN_SPEED_H
#define LAGOONHITCH_BENCH_DECISIONS_UNEVEN_SPEED_H

/// \file
/// Simulates a shared service with requests of different work and upstreams of
/// different and changing speed.

#include "bench/decisions/scenarios.h"
#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// A kind of requests in an UnevenSpeedOptions.
struct SimulatedClass {
  std::chrono::milliseconds MeanWork_{};
  std::chrono::milliseconds Objective_{};
  std::chrono::milliseconds Timeout_{};
  std::uint32_t Rank_ = 0;
};

/// Settings of simulateUnevenSpeed().
struct UnevenSpeedOptions {
  std::size_t Daemons_ = 64;
  std::uint32_t Zones_ = 4;
  std::uint32_t Slots_ = 12;
  /// Long-term slowdown of each upstream, as a factor.
  std::vector<double> Slowdowns_;
  /// Whether upstreams are slower for short times.
  bool SlowMoments_ = true;
  std::vector<SimulatedClass> Classes_;
  /// Request rate as a fraction of what the upstreams can do.
  double Load_ = 0.7;
  std::chrono::milliseconds DigestInterval_{250};
  std::chrono::milliseconds Duration_{12000};
  /// Whether the upstreams report their slowdown. Without, hosts are chosen and
  /// requests are admitted by counts and average processing times.
  bool ReportSlowdown_ = true;
  std::uint64_t Seed_ = 1;
};

/// Returns the usual settings: 20 upstreams with slowdowns from 0.5 to 2.4 and
/// four classes, two of which have the same objective.
UnevenSpeedOptions unevenSpeedOptions();

/// Results of simulateUnevenSpeed().
struct UnevenSpeedResult {
  /// Mean and 95th percentile of the time to completion divided by the
  /// objective. Requests that are not served count as their timeout.
  double MeanRelative_ = 0;
  double P95Relative_ = 0;
  /// Share of the requests that missed their objective or were not served.
  double LateShare_ = 0;
  /// Share of the requests that were not served by their deadline.
  double LostShare_ = 0;
  /// Requests started by the busiest upstream, divided by the mean.
  double BusiestToMean_ = 0;
  /// Highest time of an upstream's slots in use, divided by the mean.
  double BusiestTimeToMean_ = 0;
};

/// Runs the simulation in virtual time. A request that its first host rejects
/// is sent to up to two others.
UnevenSpeedResult simulateUnevenSpeed(const UnevenSpeedOptions &Options);

/// Measures uneven speeds with and without reported slowdowns.
std::vector<ScenarioRow> unevenSpeedRows(std::uint64_t FirstSeed,
                                         std::uint32_t Seeds);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_UNEVEN_SPEED_H

#ifndef LAGOONHITCH_TESTS_SOAK_FAULT_PLAN_H
#define LAGOONHITCH_TESTS_SOAK_FAULT_PLAN_H

/// \file
/// Generates the faults of one round of a soak test.

#include "tests/soak/fault.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The longest time that an upstream takes for a request.
inline constexpr std::chrono::milliseconds MaxSlowRunTime{2000};

/// The faults of one round.
struct FaultPlan {
  /// Whether the round has planned operations only, and possibly slow runs,
  /// stated limits, manifests, and connections that are refused, break or go
  /// silent.
  bool PlannedOnly_ = false;
  /// Sorted by start time.
  std::vector<Fault> Faults_;
};

/// Generates the faults of a round from a seed. Faults that overlap in time
/// have different targets: a daemon, an upstream, the connections of a host or
/// the store.
FaultPlan generateFaultPlan(std::uint64_t Seed, std::uint32_t Round,
                            std::uint32_t Hosts);

/// Returns the shortest idle timeout of the manifests in a plan; std::nullopt
/// if it has none.
std::optional<std::chrono::milliseconds>
shortestIdleTimeout(const FaultPlan &Plan);

/// Returns one line of text for each fault.
std::string describe(const FaultPlan &Plan);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SOAK_FAULT_PLAN_H

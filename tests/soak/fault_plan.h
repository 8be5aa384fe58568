#ifndef LAGOONHITCH_TESTS_SOAK_FAULT_PLAN_H
#define LAGOONHITCH_TESTS_SOAK_FAULT_PLAN_H

/// \file
/// Draws what goes wrong in one round of a soak.

#include "tests/soak/fault.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// What goes wrong in one round.
struct FaultPlan {
  /// Whether operators alone do something.
  bool PlannedOnly_ = false;
  /// In the order of their beginnings.
  std::vector<Fault> Faults_;
};

/// Draws the faults of a round. No two of them that overlap hit the same thing:
/// the same daemon, upstream, links or the store.
FaultPlan generateFaultPlan(std::uint64_t Seed, std::uint32_t Round,
                            std::uint32_t Hosts);

/// Returns one line for each fault.
std::string describe(const FaultPlan &Plan);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SOAK_FAULT_PLAN_H

#ifndef LAGOONHITCH_OWNERSHIP_PLANNER_H
#define LAGOONHITCH_OWNERSHIP_PLANNER_H

/// \file
/// Plans which member owns which shard.

#include "ownership/record.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// What the planner aims for.
struct PlanOptions {
  struct Service {
    std::string Name_;
    std::uint32_t ShardCount_ = 0;
  };
  /// The divided services of the site.
  std::vector<Service> Services_;
  /// Most shards that may be on their way to a new owner at a time.
  std::uint32_t MaxMovesInFlight_ = 64;
  /// Whether members without witnesses get shards.
  bool AllowUnsettled_ = false;
  /// Shards in a hundred by which a member may exceed its quota before
  /// shards are moved away from it.
  std::uint32_t TolerancePercent_ = 5;
};

/// Returns the definitions and moves that bring the owners closer to quotas
/// by slots, moving as little as possible: shards without an owner, then
/// those of members that are draining, then those above quota.
Record::Plan planShards(const Table &State, const PlanOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_PLANNER_H

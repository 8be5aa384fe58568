#ifndef LAGOONHITCH_OWNERSHIP_TABLE_H
#define LAGOONHITCH_OWNERSHIP_TABLE_H

/// \file
/// The state that the records of the ownership stream add up to.

#include "ownership/member.h"
#include "ownership/shard.h"

#include <map>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Members and shard owners of one site after a prefix of the log.
struct Table {
  /// The first offset that is not applied yet.
  Offset Next_ = 0;
  /// Grows with every record that a plan may depend on.
  std::uint64_t PlanVersion_ = 0;
  std::map<MemberId, Member> Members_;
  /// The shards of each divided service.
  std::map<std::string, std::vector<Shard>> Services_;

  bool operator==(const Table &) const = default;
};

/// Returns the member, or nullptr if it has never joined or is removed.
const Member *findMember(const Table &State, MemberId Id);

/// Returns the shard, or nullptr if there is none of that number.
const Shard *findShard(const Table &State, const std::string &Service,
                       ShardId Id);

/// Returns whether the member has joined in the applied prefix and was
/// removed since.
bool isRemoved(const Table &State, MemberId Id);

/// Returns whether a member owns a shard or is the target of one.
bool holdsShards(const Table &State, MemberId Id);

/// Returns the number of shards that a member owns.
std::size_t ownedShards(const Table &State, MemberId Id);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_TABLE_H

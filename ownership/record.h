#ifndef LAGOONHITCH_OWNERSHIP_RECORD_H
#define LAGOONHITCH_OWNERSHIP_RECORD_H

/// \file
/// The records of the ownership stream.

#include "ownership/member.h"
#include "ownership/shard_ref.h"
#include "ownership/table.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace lagoonhitch {

/// One record of the ownership stream. A record whose condition does not hold
/// when it is applied is void, so a late or repeated append does no harm.
struct Record {
  /// A new incarnation; its member id follows from the record's offset.
  /// Condition: no member has the same nonce.
  struct Join {
    Member Member_;
  };

  /// New slots or draining state of a member. Condition: it is a member and
  /// no later update was applied.
  struct Update {
    MemberId Member_ = NoMember;
    std::uint64_t Sequence_ = 0;
    std::map<std::string, std::uint32_t> Slots_;
    bool Draining_ = false;
  };

  /// Planned changes. Condition: the plan version has not moved on.
  struct Plan {
    struct Define {
      std::string Service_;
      std::uint32_t ShardCount_ = 0;
    };
    struct Move {
      std::string Service_;
      ShardId Shard_ = 0;
      MemberId Target_ = NoMember;
    };
    struct Seat {
      MemberId Member_ = NoMember;
      SeatSet Seats_;
    };
    std::uint64_t PlanVersion_ = 0;
    std::vector<Define> Defines_;
    /// A shard without an owner is given at once; an owned one after its
    /// owner's release.
    std::vector<Move> Moves_;
    std::vector<Seat> Seats_;
  };

  /// Shards that their owner has stopped serving, for their targets.
  /// Condition, for each: the owner and token are still those.
  struct Release {
    MemberId Owner_ = NoMember;
    std::vector<ShardRef> Shards_;
  };

  /// The old seats of that epoch's predecessor are retired.
  struct SeatDone {
    MemberId Member_ = NoMember;
    std::uint64_t Epoch_ = 0;
  };

  /// A successor that holds the witnesses' promises takes over all shards.
  /// Condition: both are members.
  struct TakeOver {
    MemberId Victim_ = NoMember;
    MemberId Successor_ = NoMember;
    /// Added to the tokens of all shards taken over: more than any earlier
    /// successor of the victim has used.
    Token TokenStep_ = 1;
    /// Shards that the victim had released to their targets before.
    std::vector<ShardRef> Released_;
  };

  /// A member that serves no more gives up its membership. Condition: its
  /// seats are those whose heirs have waived their claim.
  struct Leave {
    MemberId Member_ = NoMember;
    std::uint64_t Epoch_ = 0;
    /// Shards that the member had released to their targets before.
    std::vector<ShardRef> Released_;
  };

  /// Removes a member that has never settled. Condition: it is not settled
  /// and no shard is its own or on the way to it.
  struct Evict {
    MemberId Member_ = NoMember;
  };

  /// The whole table after all records before Next_.
  struct Checkpoint {
    Table Table_;
  };

  using Body = std::variant<Join, Update, Plan, Release, SeatDone, TakeOver,
                            Leave, Evict, Checkpoint>;

  /// Unique for each record; the same in every repeated append.
  std::string Id_;
  /// The host that appended the record.
  std::string By_;
  /// Calendar time of the first append, for the audit trail only.
  std::chrono::milliseconds At_{0};
  /// The reason, for the audit trail only.
  std::string Why_;
  Body Body_;
};

/// Returns the lower-case name of the record's kind.
const char *recordKind(const Record &Entry);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_RECORD_H

#ifndef LAGOONHITCH_OWNERSHIP_SEAT_SET_H
#define LAGOONHITCH_OWNERSHIP_SEAT_SET_H

/// \file
/// The witnesses of a member's lease.

#include "core/types.h"

#include <vector>

namespace lagoonhitch {

/// The witnesses of a member's lease and its heir.
struct SeatSet {
  /// Grows by one with every new set of the member.
  std::uint64_t Epoch_ = 0;
  /// Members that hold the lease's timers; an odd number or none.
  std::vector<MemberId> Witnesses_;
  /// The member that may serve after a loss before the log says so.
  MemberId Heir_ = NoMember;

  bool operator==(const SeatSet &) const = default;
};

/// Returns how many witnesses are a majority of the set.
inline std::size_t majorityOf(const SeatSet &Seats) {
  return Seats.Witnesses_.size() / 2 + 1;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_SEAT_SET_H

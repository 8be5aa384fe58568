#ifndef LAGOONHITCH_OWNERSHIP_MEMBER_H
#define LAGOONHITCH_OWNERSHIP_MEMBER_H

/// \file
/// One incarnation of a daemon as the log describes it.

#include "core/types.h"
#include "ownership/seat_set.h"

#include <map>
#include <optional>
#include <string>

namespace lagoonhitch {

/// One incarnation of a daemon as the log describes it.
struct Member {
  MemberId Id_ = NoMember;
  /// The operators' name of the host.
  std::string Host_;
  /// The availability zone of the host.
  std::string Zone_;
  /// Random number of the incarnation; tells a repeated join.
  std::uint64_t Nonce_ = 0;
  /// `ip:port` for requests from other daemons.
  std::string PeerAddress_;
  /// `ip:port` for control messages from other daemons.
  std::string ControlAddress_;
  /// Numbers the updates of slots and draining state.
  std::uint64_t UpdateSequence_ = 0;
  /// Slots of the host's upstream by service; 0 while it can't serve.
  std::map<std::string, std::uint32_t> Slots_;
  /// Whether its shards are to be moved away.
  bool Draining_ = false;
  /// The witnesses that hold its lease.
  SeatSet Seats_;
  /// The witnesses of before, until the member has retired them.
  std::optional<SeatSet> OldSeats_;

  bool operator==(const Member &) const = default;
};

/// Returns whether witnesses hold the member's lease, so that it can be
/// succeeded after a loss.
bool isSettled(const Member &One);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_MEMBER_H

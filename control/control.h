#ifndef LAGOONHITCH_CONTROL_CONTROL_H
#define LAGOONHITCH_CONTROL_CONTROL_H

/// \file
/// The control decisions of a daemon: membership, leases, take-over, planned
/// moves. Pure functions of state, input and time.

#include "control/control_actions.h"
#include "control/control_state.h"

namespace lagoonhitch {

/// A batch that was read from the ownership stream.
struct LogBatch {
  /// The first offset that the log still holds.
  Offset First_ = 0;
  std::vector<std::pair<Offset, Record>> Records_;
  /// Whether the batch reaches the end of the log.
  bool AtEnd_ = false;
};

/// Lets time pass; to be called every ControlOptions::TickEvery_.
void tick(ControlState &State, Instant Now, ControlActions &Actions);

/// Takes a message from another member.
void onMessage(ControlState &State, const LeaseMessage &Message, Instant Now,
               ControlActions &Actions);

/// Takes records of the ownership stream.
void onLogBatch(ControlState &State, const LogBatch &Batch, Instant Now,
                ControlActions &Actions);

/// Takes the slots of the upstreams beside this daemon.
void onSlots(ControlState &State,
             const std::map<std::string, std::uint32_t> &Slots, Instant Now,
             ControlActions &Actions);

/// Takes the word that nothing runs any more for a shard that is released.
void onDrained(ControlState &State, const ShardRef &Ref, Instant Now,
               ControlActions &Actions);

/// Starts an orderly stop: shards are moved away, then the member leaves.
void beginLeave(ControlState &State, Instant Now, ControlActions &Actions);

/// Returns whether an orderly stop is complete.
bool hasLeft(const ControlState &State);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_CONTROL_H

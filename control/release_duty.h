#ifndef LAGOONHITCH_CONTROL_RELEASE_DUTY_H
#define LAGOONHITCH_CONTROL_RELEASE_DUTY_H

/// \file
/// Hands shards over in planned moves.

#include "control/control_actions.h"
#include "control/control_state.h"

namespace lagoonhitch {

/// Starts the releases that the table asks for and ends those that it shows.
void updateReleases(ControlState &State, ControlActions &Actions);

/// Takes the word that nothing runs any more for a shard.
void noteDrained(ControlState &State, const ShardRef &Ref);

/// Returns the releases that can't be taken back any more.
std::vector<ShardRef> finalReleases(const ControlState &State);

/// Tells the targets of final releases that they may serve.
void sendGrants(const ControlState &State, ControlActions &Actions);

/// Takes an old owner's grants.
void onGranted(ControlState &State, const LeaseMessage &Message,
               ControlActions &Actions);

/// Appends the releases that a majority of the witnesses knows of.
void driveReleases(ControlState &State, Instant Now, ControlActions &Actions);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_RELEASE_DUTY_H

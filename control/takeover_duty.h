#ifndef LAGOONHITCH_CONTROL_TAKEOVER_DUTY_H
#define LAGOONHITCH_CONTROL_TAKEOVER_DUTY_H

/// \file
/// Takes over the shards of lost members.

#include "control/control_actions.h"
#include "control/control_state.h"

namespace lagoonhitch {

/// Asks for promises, waits leases out and commits take-overs.
void driveTakeovers(ControlState &State, Instant Now, ControlActions &Actions);

/// Ends the take-overs of members that the table has removed.
void updateTakeovers(ControlState &State, ControlActions &Actions);

/// Handles a message of the successor or heir role.
void handleTakeoverMessage(ControlState &State, const LeaseMessage &Message,
                           Instant Now, ControlActions &Actions);

/// Returns whether this member is named as the heir of another.
bool isHeirOf(const ControlState &State, const Member &Victim);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_TAKEOVER_DUTY_H

#ifndef LAGOONHITCH_CONTROL_PLAN_DUTY_H
#define LAGOONHITCH_CONTROL_PLAN_DUTY_H

/// \file
/// Plans owners and seats when it is this member's turn.

#include "control/control_actions.h"
#include "control/control_state.h"

namespace lagoonhitch {

/// Appends a plan, an eviction or a checkpoint if one is due. The member with
/// the lowest id plans; the others step in after a delay, one by one.
void planIfDue(ControlState &State, Instant Now, ControlActions &Actions);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_PLAN_DUTY_H

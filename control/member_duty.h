#ifndef LAGOONHITCH_CONTROL_MEMBER_DUTY_H
#define LAGOONHITCH_CONTROL_MEMBER_DUTY_H

/// \file
/// Joins, describes and ends this daemon's membership.

#include "control/control_actions.h"
#include "control/control_state.h"

namespace lagoonhitch {

/// Joins the site once the log is read and this daemon is no member.
void joinIfNeeded(ControlState &State, Instant Now, ControlActions &Actions);

/// Notices that this daemon's join or removal was read.
void updateMembership(ControlState &State, Instant Now,
                      ControlActions &Actions);

/// Appends this member's slots and draining state.
void appendUpdate(ControlState &State, Instant Now, ControlActions &Actions);

/// Drives an orderly stop, or gives up a membership whose witnesses are gone.
void driveLeaving(ControlState &State, Instant Now, ControlActions &Actions);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_MEMBER_DUTY_H

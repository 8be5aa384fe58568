#ifndef LAGOONHITCH_CONTROL_LEASE_DUTY_H
#define LAGOONHITCH_CONTROL_LEASE_DUTY_H

/// \file
/// Keeps this member's lease and answers as a witness of others.

#include "control/control_actions.h"
#include "control/control_state.h"

#include <utility>

namespace lagoonhitch {

/// Queues a message from the seat of that id.
void sendMessageAs(MemberId From, MemberId To, LeaseMessage::Body Body,
                   ControlActions &Actions);

/// Queues a message from this member.
void sendMessage(const ControlState &State, MemberId To,
                 LeaseMessage::Body Body, ControlActions &Actions);

/// Sends the renewals that are due and retires old seats.
void renewLease(ControlState &State, Instant Now, ControlActions &Actions);

/// Computes until when this member may serve.
void updateLease(ControlState &State, Instant Now, ControlActions &Actions);

/// Tells successors about holders that have gone silent.
void reportSilentHolders(ControlState &State, Instant Now,
                         ControlActions &Actions);

/// Handles a message of the holder or witness role.
/// \returns whether the message was of these roles.
bool handleLeaseMessage(ControlState &State, const LeaseMessage &Message,
                        Instant Now, ControlActions &Actions);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_LEASE_DUTY_H

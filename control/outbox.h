#ifndef LAGOONHITCH_CONTROL_OUTBOX_H
#define LAGOONHITCH_CONTROL_OUTBOX_H

/// \file
/// Records on their way to the log. An append may be lost, and so may its
/// answer; a record counts only once it was read back.

#include "control/control_actions.h"
#include "control/control_state.h"

#include <string>

namespace lagoonhitch {

/// Appends a record and keeps it until it is read back or void.
void appendRecord(ControlState &State, Record::Body Body,
                  const std::string &Why, Instant Now, ControlActions &Actions);

/// Forgets a record that was read back.
void noteRead(ControlState &State, const Record &Entry);

/// Forgets records that the table has made void.
void pruneOutbox(ControlState &State);

/// Repeats appends that were not read back in time. Reading up to the log's
/// end after the append is the look-up that must come before.
void retryAppends(ControlState &State, Instant Now, ControlActions &Actions);

/// Returns whether a record of that kind is on its way.
template <typename Kind> bool isAppending(const ControlState &State) {
  for (const ControlState::PendingAppend &Pending : State.Outbox_)
    if (std::holds_alternative<Kind>(Pending.Record_.Body_))
      return true;
  return false;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_OUTBOX_H

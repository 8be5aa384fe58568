#ifndef LAGOONHITCH_CONTROL_CONTROL_ACTIONS_H
#define LAGOONHITCH_CONTROL_CONTROL_ACTIONS_H

/// \file
/// What control decisions ask the outer layers to do.

#include "core/event_catalog.h"
#include "ownership/record.h"
#include "recovery/lease_message.h"

#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

/// What control decisions ask the outer layers to do.
struct ControlActions {
  /// To be sent to other members; loss is allowed.
  std::vector<LeaseMessage> Messages_;
  /// To be appended to the ownership stream; failure is allowed.
  std::vector<Record> Appends_;
  /// Whether the table or what may be served has changed.
  bool ViewChanged_ = false;
  /// Log events with their details.
  std::vector<std::pair<EventId, std::string>> Events_;
  /// Records that had an effect, for the audit trail.
  std::vector<std::pair<Offset, Record>> Effective_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_CONTROL_ACTIONS_H

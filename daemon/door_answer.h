#ifndef LAGOONHITCH_DAEMON_DOOR_ANSWER_H
#define LAGOONHITCH_DAEMON_DOOR_ANSWER_H

/// \file
/// What a door says of a request.

#include "core/clock.h"
#include "core/outcome.h"
#include "net/http_message.h"

namespace lagoonhitch {

/// Why a door has not run a request.
enum class DoorRefusal {
  None,
  /// The upstream does not hold the request's key.
  NotOwner,
  /// The upstream has no room in time.
  Busy,
  /// The upstream takes nothing more, or is lost.
  Leaving,
  /// The request can't be answered in time any more.
  Late,
  /// The attempt was refused before, when its entry asked for its fate.
  Settled,
};

/// What a door says of a request.
struct DoorAnswer {
  Outcome Outcome_ = Outcome::Unknown;
  DoorRefusal Refusal_ = DoorRefusal::None;
  /// When there may be room.
  Duration RetryAfter_{};
  /// Whether the upstream itself has turned the request away.
  bool Arrived_ = false;
  /// The upstream's answer, if it ran.
  HttpResponse Response_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DOOR_ANSWER_H

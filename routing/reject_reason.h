#ifndef LAGOONHITCH_ROUTING_REJECT_REASON_H
#define LAGOONHITCH_ROUTING_REJECT_REASON_H

/// \file
/// Why the door of an upstream has not run a request.

namespace lagoonhitch {

/// Why the door of an upstream has not run a request.
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
  /// The key has been about to be held for too long, here or elsewhere.
  Unsettled,
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_REJECT_REASON_H

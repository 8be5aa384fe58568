#ifndef LAGOONHITCH_ROUTING_REJECT_REASON_H
#define LAGOONHITCH_ROUTING_REJECT_REASON_H

/// \file
/// Why the door of an upstream has not run a request.

namespace lagoonhitch {

/// Why the door of an upstream has not run a request.
enum class RejectReason {
  None,
  /// The upstream does not hold the request's key.
  NotOwner,
  /// The upstream has no room in time.
  Overloaded,
  /// The upstream takes nothing more, or is lost.
  Unavailable,
  /// The request can't be answered in time any more.
  DeadlineExceeded,
  /// The attempt was refused before, when its entry asked for its fate.
  AlreadyResolved,
  /// The key has been about to be held for too long, here or elsewhere.
  KeyInTransition,
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_REJECT_REASON_H

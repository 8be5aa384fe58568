#ifndef LAGOONHITCH_CORE_REJECT_REASON_H
#define LAGOONHITCH_CORE_REJECT_REASON_H

/// \file
/// Reasons for which a request is not run.

namespace lagoonhitch {

/// Why an upstream or the gateway in front of it has not run a request. The
/// numeric values are sent between daemons.
enum class RejectReason {
  /// The request was not rejected.
  None,
  /// The upstream does not hold the request's key.
  NotOwner,
  /// The upstream has no capacity before the request's deadline.
  Overloaded,
  /// The upstream is draining, shutting down or unreachable.
  Unavailable,
  /// The request can no longer be answered before its deadline.
  DeadlineExceeded,
  /// The attempt must not be started any more: a status look-up has rejected
  /// it, it has been received before, or its record may have been evicted.
  AlreadyResolved,
  /// The key's ownership has been in transition for too long.
  KeyInTransition,
  /// The request has crashed the upstreams that ran it.
  Quarantined,
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_REJECT_REASON_H

#ifndef LAGOONHITCH_RECOVERY_LEASE_OPTIONS_H
#define LAGOONHITCH_RECOVERY_LEASE_OPTIONS_H

/// \file
/// The spans of the lease protocol.

#include <chrono>

namespace lagoonhitch {

/// The spans of the lease protocol; the same on all daemons of a site.
struct LeaseOptions {
  /// How long a renewal lasts.
  std::chrono::milliseconds Lease_{1200};
  /// Time between two renewals.
  std::chrono::milliseconds RenewEvery_{300};
  /// Silence after which a witness may promise a successor.
  std::chrono::milliseconds SuspectAfter_{750};
  /// Waited by a successor beyond the lease.
  std::chrono::milliseconds TakeoverMargin_{150};
  /// How long a successor asks for promises before it withdraws.
  std::chrono::milliseconds AskFor_{600};
  /// Largest rate difference of one clock, in parts per thousand.
  std::uint32_t DriftPermille_ = 10;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_LEASE_OPTIONS_H

#ifndef LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_OPTIONS_H
#define LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_OPTIONS_H

/// \file
/// Settings for key ownership.

#include <chrono>
#include <cstddef>

namespace lagoonhitch {

/// Settings for key ownership.
struct KeyOwnershipOptions {
  /// Duration of the lease, counted from when the acknowledged append of the
  /// epoch was sent.
  std::chrono::milliseconds Lease_{8000};
  /// Time between two appends of the epoch.
  std::chrono::milliseconds RenewInterval_{2000};
  /// Delay before a failed append of the epoch is retried.
  std::chrono::milliseconds RenewRetryDelay_{300};
  /// How long the upstream may hold keys after one grant.
  std::chrono::milliseconds Hold_{2500};
  /// How long the upstream may hold keys after one declaration in the reply to
  /// a heartbeat. Several heartbeats may be lost in this time.
  std::chrono::milliseconds DeclaredHold_{4000};
  /// Time between two grants of the same keys.
  std::chrono::milliseconds GrantInterval_{800};
  /// Time from the sending of a heartbeat after which the upstream ignores the
  /// reply.
  std::chrono::milliseconds AcknowledgementTime_{1000};
  /// Fraction by which another clock, such as the upstream's, may run slower
  /// than this host's.
  double MaxClockDrift_ = 0.02;
  /// Allowance for the time between the last reading of the clock and the
  /// arrival of a grant.
  std::chrono::milliseconds PauseMargin_{150};
  /// How long the membership must be stable before keys are first assigned.
  std::chrono::milliseconds StableMembershipTime_{1000};
  /// Whether the site starts for the first time, so that a store without a
  /// table has not lost one.
  bool FirstStart_ = false;
  /// Time without contact after which a host is suspected to have failed.
  std::chrono::milliseconds SuspectAfter_{2500};
  /// Delay per rank that keeps hosts from acting at the same time, and the
  /// number of ranks. With more hosts than ranks, hosts share ranks when they
  /// append the first table, and act in groups of that size when they take over
  /// keys.
  std::chrono::milliseconds RankDelay_{400};
  std::size_t RankCount_ = 6;
  /// Delay before a failed table append or a failed grant is retried.
  std::chrono::milliseconds AppendRetryDelay_{150};
  /// Minimum time between two rounds of moves for load balance.
  std::chrono::milliseconds RebalanceInterval_{1500};
  /// The same for a host with more requests than it can run. Its own load is
  /// known again right after a round, and receivers are protected by
  /// KeyPeer::RecentlyGainedKeys_.
  std::chrono::milliseconds OverloadedRebalanceInterval_{400};
  /// Load from which a host moves keys away, as a fraction of its capacity.
  double RebalanceMinLoad_ = 0.55;
  /// Minimum difference between the loads of two hosts for a move from one to
  /// the other, as a fraction of capacity.
  double RebalanceMinGap_ = 0.2;
  /// Fraction of the load difference that one move evens out.
  double RebalanceFraction_ = 0.8;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_OPTIONS_H

#ifndef LAGOONHITCH_TESTS_SCHEDULE_KEY_FAULT_H
#define LAGOONHITCH_TESTS_SCHEDULE_KEY_FAULT_H

/// \file
/// The faults that schedules of key ownership are made of.

#include <chrono>
#include <cstdint>
#include <ostream>

namespace lagoonhitch {

/// Kinds of faults.
enum class KeyFaultKind {
  /// A daemon does not run for a while.
  FreezeDaemon,
  /// A daemon is killed and starts again with its memory lost.
  KillDaemon,
  /// An upstream ends and another life of it starts.
  UpstreamCrash,
  /// A host loses power: daemon and upstream end, and start again.
  PowerLoss,
  /// A daemon does not reach the store.
  StorePartition,
  /// A daemon is not heard by the others, nor hears them.
  PeerPartition,
  /// The store answers nobody.
  StoreDown,
  /// The store turns calls away.
  StoreRejects,
  /// Calls take long.
  StoreSlow,
  /// Calls are carried out, but their answers are lost.
  StoreLosesReplies,
  /// Calls without an answer are carried out seconds later.
  StoreAppliesLate,
  /// Reads are seconds behind.
  StaleReads,
  /// Grants get no answer and act seconds later.
  LateGrants,
  /// An upstream leaves and comes back.
  DrainUpstream,
  /// All daemons are killed at once.
  KillAllDaemons,
  /// The load of one host rises, so that keys are moved for balance.
  LoadSpike,
  /// An upstream lives, but its daemon does not reach it.
  UpstreamUnreachable,
};

/// Number of kinds.
inline constexpr int KeyFaultKindCount = 17;

/// One fault of a schedule.
struct KeyFault {
  KeyFaultKind Kind_ = KeyFaultKind::FreezeDaemon;
  std::chrono::milliseconds Start_{0};
  std::chrono::milliseconds Duration_{0};
  /// The number of the host that it hits.
  std::uint32_t Host_ = 0;
};

/// Writes a fault as `kind at length host`, for schedules that failed.
inline std::ostream &operator<<(std::ostream &Out, const KeyFault &Fault) {
  return Out << "kind " << static_cast<int>(Fault.Kind_) << " at "
             << Fault.Start_.count() << " for " << Fault.Duration_.count()
             << " host " << Fault.Host_;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_KEY_FAULT_H

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
  Freeze,
  /// A daemon is killed and starts again with its memory lost.
  Kill,
  /// An upstream ends and another life of it starts.
  UpstreamCrash,
  /// A host loses power: daemon and upstream end, and start again.
  PowerLoss,
  /// A daemon does not reach the store.
  CutFromStore,
  /// A daemon is not heard by the others, nor hears them.
  CutFromPeers,
  /// The store answers nobody.
  StoreDown,
  /// The store turns calls away.
  StoreRefuses,
  /// Calls take long.
  StoreSlow,
  /// Calls are carried out, but their answers are lost.
  StoreLosesAnswers,
  /// Calls without an answer are carried out seconds later.
  StoreActsLate,
  /// Reads are seconds behind.
  StaleReads,
  /// Grants get no answer and act seconds later.
  LateGrants,
  /// An upstream leaves and comes back.
  Drain,
  /// All daemons are killed at once.
  KillAll,
  /// The load of one host rises, so that keys are moved for balance.
  HotKeys,
  /// An upstream lives, but its daemon does not reach it.
  UpstreamSilent,
};

/// Number of kinds.
inline constexpr int KeyFaultKindCount = 17;

/// One fault of a schedule.
struct KeyFault {
  KeyFaultKind Kind_ = KeyFaultKind::Freeze;
  std::chrono::milliseconds At_{0};
  std::chrono::milliseconds Length_{0};
  /// The number of the host that it hits.
  std::uint32_t Host_ = 0;
};

/// Writes a fault as `kind at length host`, for schedules that failed.
inline std::ostream &operator<<(std::ostream &Out, const KeyFault &Fault) {
  return Out << "kind " << static_cast<int>(Fault.Kind_) << " at "
             << Fault.At_.count() << " for " << Fault.Length_.count()
             << " host " << Fault.Host_;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_KEY_FAULT_H

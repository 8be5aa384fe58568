#ifndef LAGOONHITCH_TESTS_SCHEDULE_FAULT_H
#define LAGOONHITCH_TESTS_SCHEDULE_FAULT_H

/// \file
/// The faults that a schedule is made of.

#include <chrono>
#include <cstdint>

namespace lagoonhitch {

/// Kinds of faults.
enum class FaultKind {
  /// A daemon does not run for a while.
  Pause,
  /// A daemon starts again with its memory lost.
  Restart,
  /// A daemon is isolated from all others; the log stays reachable.
  Isolate,
  /// A daemon does not reach the log.
  CutFromLog,
  /// The log is down for all.
  LogDown,
  /// Appends and reads take long.
  LogSlow,
  /// Messages get lost, late and repeated.
  BadNetwork,
  /// A daemon stops in order and starts again.
  Leave,
  /// A daemon's upstream goes away and comes back.
  UpstreamGone,
  /// Messages from a daemon to its focus, or from the focus to it, are lost.
  CutLink,
};

/// Number of kinds.
inline constexpr int FaultKindCount = 10;

/// Whom a fault hits, seen from its focus.
enum class FaultRole { Focus, Heir, Witness, Planner };

/// Number of roles.
inline constexpr int FaultRoleCount = 4;

/// One fault of a schedule.
struct Fault {
  FaultKind Kind_ = FaultKind::Pause;
  std::chrono::milliseconds At_{0};
  std::chrono::milliseconds Length_{0};
  /// The number of the focus.
  std::uint32_t Node_ = 0;
  /// Whom the fault hits; read from the log when the fault begins.
  FaultRole Role_ = FaultRole::Focus;
  /// Which of the witnesses, or which direction of a link.
  std::uint32_t Choice_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_FAULT_H

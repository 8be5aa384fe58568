#ifndef LAGOONHITCH_TESTS_SOAK_FAULT_H
#define LAGOONHITCH_TESTS_SOAK_FAULT_H

/// \file
/// Something that goes wrong in a soak, or is done by operators.

#include <chrono>
#include <cstdint>

namespace lagoonhitch {

/// Something that goes wrong for a while.
struct Fault {
  enum class Kind {
    // Planned work, during which no request may be cut.
    StopDaemon,
    ReloadDaemon,
    DrainUpstream,
    // Faults.
    KillDaemon,
    FreezeDaemon,
    KillUpstream,
    FreezeUpstream,
    StallConnections,
    StallReplies,
    ResetConnections,
    DelayConnections,
    StoreDown,
    StoreRejects,
    StoreSlow,
    StoreLosesReplies,
    StoreAppliesLate,
  };
  Kind Kind_ = Kind::StopDaemon;
  /// The host that it hits; for the store's faults it means nothing.
  std::uint32_t Host_ = 0;
  /// When it begins, from the beginning of the round.
  std::chrono::milliseconds Start_{0};
  std::chrono::milliseconds Duration_{0};
};

/// Returns the name of a kind.
const char *faultName(Fault::Kind Kind);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SOAK_FAULT_H

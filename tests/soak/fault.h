#ifndef LAGOONHITCH_TESTS_SOAK_FAULT_H
#define LAGOONHITCH_TESTS_SOAK_FAULT_H

/// \file
/// Faults and planned operations in a soak test.

#include <chrono>
#include <cstdint>

namespace lagoonhitch {

/// A fault or a planned operation, such as a restart, that lasts for a while.
struct Fault {
  enum class Kind {
    // Planned operations, during which no request may be cut off.
    StopDaemon,
    ReloadDaemon,
    DrainUpstream,
    // Faults.
    KillDaemon,
    SuspendDaemon,
    KillUpstream,
    SuspendUpstream,
    DropTraffic,
    DropResponses,
    ResetConnections,
    DelayConnections,
    RefuseConnections,
    IgnoreConnections,
    SlowRuns,
    StateLimit,
    PublishManifest,
    StoreDown,
    StoreRejects,
    StoreSlow,
    StoreLosesReplies,
    StoreAppliesLate,
  };
  Kind Kind_ = Kind::StopDaemon;
  /// Index of the affected host; ignored for faults of the store and
  /// for manifests.
  std::uint32_t Host_ = 0;
  /// Start, relative to the start of the round.
  std::chrono::milliseconds Start_{0};
  std::chrono::milliseconds Duration_{0};
  /// Time that the upstream takes for a request; for SlowRuns only.
  std::chrono::milliseconds RunTime_{0};
  /// Idle timeout of callers' connections; for PublishManifest only.
  std::chrono::milliseconds IdleTimeout_{0};
};

/// Returns the name of a kind of fault for output.
const char *faultName(Fault::Kind Kind);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SOAK_FAULT_H

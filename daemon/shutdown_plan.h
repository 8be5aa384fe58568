#ifndef LAGOONHITCH_DAEMON_SHUTDOWN_PLAN_H
#define LAGOONHITCH_DAEMON_SHUTDOWN_PLAN_H

/// \file
/// Decides how a graceful shutdown proceeds.

#include "core/clock.h"

#include <cstddef>

namespace lagoonhitch {

/// The phases of a shutdown, in order.
enum class ShutdownPhase {
  /// Requests are served as before, while callers and peers learn of the
  /// shutdown.
  Serving,
  /// New connections of callers are not accepted. Requests that are received
  /// from now on are rejected, those of peers as well.
  Draining,
  /// Nothing runs any more. Peers whose connections broke can still look up the
  /// results of their requests.
  Reporting,
  /// New connections of peers are refused. Requests that peers sent on open
  /// ones may still be on their way, and are rejected.
  Lingering,
  /// The time is over. What is still open gets a response before the process
  /// ends.
  Ending,
  /// The process can end.
  Stopped,
};

/// Progress of a shutdown.
struct ShutdownPlan {
  /// When the shutdown was requested; a busy daemon starts it later.
  Instant RequestedAt_;
  /// How long the shutdown may take from the request on.
  Duration Limit_{};
  ShutdownPhase Phase_ = ShutdownPhase::Serving;
  /// When the current phase began.
  Instant PhaseSince_;
};

/// What is still open during a shutdown.
struct ShutdownLoad {
  /// Requests of callers and peers without a complete response, and requests
  /// that the upstream runs.
  std::size_t OpenRequests_ = 0;
  /// Connections of peers.
  std::size_t PeerConnections_ = 0;
};

/// Starts a shutdown.
ShutdownPlan startShutdownPlan(Instant RequestedAt, Instant Now,
                               Duration Limit);

/// Enters the next phase if it is due; none is skipped. To be called
/// periodically.
/// \returns whether the phase has changed.
bool advanceShutdown(ShutdownPlan &Plan, const ShutdownLoad &Load, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_SHUTDOWN_PLAN_H

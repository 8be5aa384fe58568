#include "daemon/shutdown_plan.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Time until callers send their requests to other hosts.
constexpr std::chrono::milliseconds ServeFor{2300};
/// Time in which peers look up results; they do so every 250 ms.
constexpr std::chrono::milliseconds ReportFor{400};
/// Time in which a request that a peer has sent arrives, also on a full link.
constexpr std::chrono::milliseconds LingerFor{500};
/// Time in which the last responses are written.
constexpr std::chrono::milliseconds EndFor{200};

ShutdownPhase nextPhase(const ShutdownPlan &Plan, const ShutdownLoad &Load,
                        Instant Now) {
  const Duration InPhase = Now - Plan.PhaseSince_;
  switch (Plan.Phase_) {
  case ShutdownPhase::Serving:
    return InPhase >= ServeFor ? ShutdownPhase::Draining : Plan.Phase_;
  case ShutdownPhase::Draining:
    return Load.OpenRequests_ == 0 ? ShutdownPhase::Reporting : Plan.Phase_;
  case ShutdownPhase::Reporting:
    return InPhase >= ReportFor ? ShutdownPhase::Lingering : Plan.Phase_;
  case ShutdownPhase::Lingering: {
    const bool Idle = Load.OpenRequests_ == 0 &&
                      (Load.PeerConnections_ == 0 || InPhase >= LingerFor);
    return Idle ? ShutdownPhase::Stopped : Plan.Phase_;
  }
  case ShutdownPhase::Ending:
    return Load.OpenRequests_ == 0 ? ShutdownPhase::Stopped : Plan.Phase_;
  case ShutdownPhase::Stopped:
    break;
  }
  return Plan.Phase_;
}

/// Returns the next phase if the time limit demands it, whatever is open. No
/// phase is skipped.
ShutdownPhase nextPhaseByLimit(const ShutdownPlan &Plan, Instant Now) {
  const Duration Elapsed = Now - Plan.RequestedAt_;
  if (Elapsed < Plan.Limit_ - EndFor)
    return Plan.Phase_;
  switch (Plan.Phase_) {
  case ShutdownPhase::Serving:
    return ShutdownPhase::Draining;
  case ShutdownPhase::Draining:
  case ShutdownPhase::Reporting:
  case ShutdownPhase::Lingering:
    return ShutdownPhase::Ending;
  case ShutdownPhase::Ending:
    return Elapsed < Plan.Limit_ ? Plan.Phase_ : ShutdownPhase::Stopped;
  case ShutdownPhase::Stopped:
    break;
  }
  return Plan.Phase_;
}

} // namespace

ShutdownPlan startShutdownPlan(Instant RequestedAt, Instant Now,
                               Duration Limit) {
  return {RequestedAt, Limit, ShutdownPhase::Serving, Now};
}

bool advanceShutdown(ShutdownPlan &Plan, const ShutdownLoad &Load,
                     Instant Now) {
  const ShutdownPhase Next =
      std::max(nextPhase(Plan, Load, Now), nextPhaseByLimit(Plan, Now));
  if (Next == Plan.Phase_)
    return false;
  Plan.Phase_ = Next;
  Plan.PhaseSince_ = Now;
  return true;
}

} // namespace lagoonhitch

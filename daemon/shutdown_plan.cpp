#include "daemon/shutdown_plan.h"

namespace lagoonhitch {

namespace {

/// Time until callers send their requests to other hosts.
constexpr std::chrono::milliseconds ServeFor{2300};
/// Time in which peers look up results; they do so every 250 ms.
constexpr std::chrono::milliseconds ReportFor{400};
/// Time in which a request that a peer has sent arrives, also on a full link.
constexpr std::chrono::milliseconds LingerFor{500};

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
  case ShutdownPhase::Stopped:
    break;
  }
  return Plan.Phase_;
}

} // namespace

ShutdownPlan startShutdownPlan(Instant Now, Duration Limit) {
  return {Now, Limit, ShutdownPhase::Serving, Now};
}

bool advanceShutdown(ShutdownPlan &Plan, const ShutdownLoad &Load,
                     Instant Now) {
  const bool Overdue = Now - Plan.StartedAt_ >= Plan.Limit_;
  const ShutdownPhase Next =
      Overdue ? ShutdownPhase::Stopped : nextPhase(Plan, Load, Now);
  if (Next == Plan.Phase_)
    return false;
  Plan.Phase_ = Next;
  Plan.PhaseSince_ = Now;
  return true;
}

} // namespace lagoonhitch

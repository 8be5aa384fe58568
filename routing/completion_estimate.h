#ifndef LAGOONHITCH_ROUTING_COMPLETION_ESTIMATE_H
#define LAGOONHITCH_ROUTING_COMPLETION_ESTIMATE_H

/// \file
/// When an upstream is expected to complete a request, from the work and the
/// speed that it reports.

#include "core/clock.h"
#include "membership/fleet.h"

#include <cstdint>
#include <optional>

namespace lagoonhitch {

/// What is known about the work of a request.
struct RequestWork {
  /// Expected work, as time at usual speed; zero if unknown.
  Duration Work_{};
  /// Priority rank; zero is the highest.
  std::uint32_t Rank_ = 0;
};

/// The expected time until an upstream completes a request.
struct CompletionEstimate {
  /// Time until the request is started.
  Duration Wait_{};
  /// Processing time of the request.
  Duration Run_{};
  /// Time in which all slots together do the work that the upstream has.
  Duration Drain_{};
};

/// Estimates when a member's upstream completes a request that is sent now.
/// \param SentSinceReport the requests that all entry daemons are assumed to
/// have sent to it since its last report.
/// \returns std::nullopt if the member reports no plausible slowdown or the
/// work of the request is unknown.
std::optional<CompletionEstimate> estimateCompletion(const FleetMember &Member,
                                                     const RequestWork &Request,
                                                     double SentSinceReport,
                                                     Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_COMPLETION_ESTIMATE_H

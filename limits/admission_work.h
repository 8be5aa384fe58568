#ifndef LAGOONHITCH_LIMITS_ADMISSION_WORK_H
#define LAGOONHITCH_LIMITS_ADMISSION_WORK_H

/// \file
/// Estimates of work and time for the admission queue.

#include "core/clock.h"
#include "limits/admission_queue.h"

namespace lagoonhitch {

/// Returns the state of a request that is started now.
RunningRequest makeRunningRequest(const AdmissionQueue &State,
                                  const QueuedRequest &Request, Instant Now);

/// Returns how long some work takes from now on.
Duration timeFor(const AdmissionQueue &State, Duration Work, Instant Now);

/// Returns how much of its work a running request still needs on average.
Duration meanRemainingWork(const AdmissionQueue &State, Instant Now);

/// Returns whether a request that is started now will probably not be completed
/// by its deadline, judged by the median of its class. Always false if the
/// speed of the upstream is unknown.
bool isHopeless(const AdmissionQueue &State, const QueuedRequest &Request,
                Instant Now);

/// Returns when to retry a request that is hopeless now: when a slow moment of
/// the upstream has passed, but before the deadline.
Duration retryAfterHopeless(const QueuedRequest &Request, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_ADMISSION_WORK_H

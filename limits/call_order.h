#ifndef LAGOONHITCH_LIMITS_CALL_ORDER_H
#define LAGOONHITCH_LIMITS_CALL_ORDER_H

/// \file
/// The place of calls, which running requests wait for, in an admission queue.
/// Within a rank they precede fresh requests: a fresh request that is rejected
/// costs nothing but its own retry, a rejected call loses the run of its
/// parent.

#include "core/clock.h"
#include "limits/admission_queue.h"

#include <map>
#include <vector>

namespace lagoonhitch {

/// Returns whether a request that arrives now precedes all waiting ones.
bool precedesWaiting(const AdmissionQueue &State, const QueuedRequest &Request);

/// Returns the waiting request that is to be started next. After several calls
/// in a row it is a fresh one of the same rank, if any: an upstream that calls
/// its own service would otherwise keep all fresh requests of that rank
/// waiting. The queue must not be empty.
std::map<QueueOrder, QueuedRequest>::const_iterator
nextToStart(const AdmissionQueue &State);

/// Counts the start of a request for the order of the next ones.
void noteStart(AdmissionQueue &State, const QueuedRequest &Request);

/// Returns the waiting requests that are to be started before a request.
std::vector<const QueuedRequest *> requestsAhead(const AdmissionQueue &State,
                                                 const QueuedRequest &Request);

/// Returns whether the queue has a place for a request. Calls may use a part of
/// the places only, so that fresh requests of a more urgent rank find one.
bool hasPlace(const AdmissionQueue &State, const QueuedRequest &Request);

/// Returns whether a waiting request is to leave the queue because it can't be
/// answered in time here. A call that another upstream can run leaves while
/// there is time for that.
bool isTooLate(const AdmissionQueue &State, const QueuedRequest &Request,
               Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_CALL_ORDER_H

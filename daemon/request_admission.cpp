/// \file
/// What a RequestRouter decides about a request before its first attempt, and
/// the bookkeeping of calls.

#include "daemon/entry_request.h"
#include "daemon/request_preparation.h"
#include "daemon/request_router.h"
#include "daemon/upstream_gateway.h"
#include "observe/metrics.h"

#include <optional>
#include <set>
#include <string>

namespace lagoonhitch {

/// Marks a request as a call if its parent runs at the local gateway.
void RequestRouter::joinParent(EntryRequest &Request) {
  if (Request.Routed_.ParentRequestId_.empty())
    return;
  if (const std::optional<std::uint32_t> Rank =
          Gateway_.beginCall(Request.Routed_.ParentRequestId_))
    markAsCall(Request, *Rank);
}

void RequestRouter::leaveParent(const EntryRequest &Request,
                                Outcome FinalOutcome) {
  if (!Request.GatewayRequest_.Chained_)
    return;
  Gateway_.endCall(Request.Routed_.ParentRequestId_,
                   FinalOutcome == Outcome::NotRun);
  DaemonMetrics_.countCall(Request.GatewayRequest_.Service_, FinalOutcome);
}

/// Returns whether the upstreams that the request has not been sent to can
/// start it in time. A sharded service has no choice.
ServiceRoom RequestRouter::roomFor(const EntryRequest &Request) {
  const GatewayRequest &Outgoing = Request.GatewayRequest_;
  if (Outgoing.Key_ || Outgoing.Chained_)
    return {};
  const Instant Now = Time_.now();
  if (FleetMember *Own = findMember(Site_.Fleet_, Config_.Host_))
    applyLoadReport(*Own, Gateway_.load(), Now);
  std::set<std::string> Tried = Request.TriedHosts_;
  Tried.insert(Request.Host_);
  return serviceRoom(Site_.Fleet_, Outgoing.Service_,
                     toQueuedRequest(Outgoing, Request.Number_, Now), Tried,
                     ServiceRoomOptions_, Now);
}

void RequestRouter::startFirstAttempt(const EntryRequestPtr &Request) {
  const Instant Now = Time_.now();
  const std::optional<Duration> RetryAfter = rejectAtOnce(
      roomFor(*Request),
      toQueuedRequest(Request->GatewayRequest_, Request->Number_, Now),
      ServiceRoomOptions_, Random_(), Now);
  if (!RetryAfter) {
    startAttempt(Request);
    return;
  }
  DaemonMetrics_.countRejectedAtOnce(Request->GatewayRequest_.Service_);
  reject(Request, "all upstreams of the service are full", *RetryAfter);
}

} // namespace lagoonhitch

#include "daemon/entry_request.h"

#include "daemon/forward_codec.h"

namespace lagoonhitch {

bool isUnresolved(const EntryRequest &Request) {
  return Request.EndCause_ != nullptr &&
         (Request.LatestLookup_ == AttemptLookup::TimedOut ||
          Request.LatestLookup_ == AttemptLookup::Unreachable);
}

AttemptStatusQuery statusQueryFor(const EntryRequest &Request, Instant Now) {
  AttemptStatusQuery Query;
  Query.Id_ = Request.GatewayRequest_.Id_;
  Query.Process_ = Request.PeerProcess_;
  Query.StartWithin_ = toMillis(Request.GatewayRequest_.Deadline_ - Now);
  return Query;
}

bool isAttemptOpen(const EntryRequest &Request) {
  return Request.Attempt_ > 0 && !Request.WaitingForOwner_;
}

} // namespace lagoonhitch

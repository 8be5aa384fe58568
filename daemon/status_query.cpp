#include "daemon/status_query.h"

#include "daemon/entry_request.h"

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds StatusQueryTimeout{400};

} // namespace

AttemptStatusQuery statusQueryFor(const EntryRequest &Request, Instant Now) {
  AttemptStatusQuery Query;
  Query.Id_ = Request.GatewayRequest_.Id_;
  Query.Process_ = Request.PeerProcess_;
  Query.StartWithin_ = toMillis(Request.GatewayRequest_.Deadline_ - Now);
  return Query;
}

HttpCallOptions statusQueryOptions() {
  HttpCallOptions Options;
  Options.Timeout_ = StatusQueryTimeout;
  Options.RequireNewConnection_ = true;
  return Options;
}

} // namespace lagoonhitch

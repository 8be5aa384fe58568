#include "daemon/request_preparation.h"

#include "daemon/entry_request.h"
#include "daemon/forward_codec.h"
#include "daemon/request_router.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace lagoonhitch {

void prepareRequest(EntryRequest &Request, const RequestRouterConfig &Config,
                    const HeaderNames &Names) {
  GatewayRequest &Outgoing = Request.GatewayRequest_;
  const RoutedRequest &Routed = Request.Routed_;
  Outgoing.Service_ = Routed.Service_;
  Outgoing.Key_ = Routed.Key_;
  Outgoing.Class_ = Routed.Class_;
  Outgoing.Rank_ = Routed.Rank_;
  Outgoing.Idempotent_ = Routed.Idempotent_;
  Outgoing.Deadline_ = Request.ArrivedAt_ + Routed.Timeout_;
  Outgoing.Objective_ = Routed.Objective_;
  Outgoing.ObjectiveAt_ = Request.ArrivedAt_ + Routed.Objective_;
  Request.Plan_.Idempotent_ = Routed.Idempotent_;
  Request.Plan_.Keyed_ = Routed.Key_.has_value();
  Request.Plan_.ArrivedAt_ = Request.ArrivedAt_;
  Request.Plan_.Deadline_ = Outgoing.Deadline_;
  Request.Plan_.Objective_ = Routed.Objective_;
  Request.Plan_.MaxRuns_ = Routed.MaxAttempts_;
  std::vector<HttpHeader> &Headers = Outgoing.HttpRequest_.Headers_;
  std::erase_if(Headers, [&Names](const HttpHeader &Header) {
    return (isHopByHop(Header.Name_) &&
            !absl::EqualsIgnoreCase(Header.Name_, "Host")) ||
           absl::StartsWithIgnoreCase(Header.Name_, ReservedHeaderPrefix) ||
           absl::EqualsIgnoreCase(Header.Name_, Names.CallerService_) ||
           absl::EqualsIgnoreCase(Header.Name_, Names.TargetUpstream_);
  });
  Headers.push_back({Names.CallerService_, Config.Service_});
  if (Routed.Key_) {
    eraseHeader(Headers, Names.Key_);
    Headers.push_back({Names.Key_, absl::StrCat(*Routed.Key_)});
  }
  // Upstreams echo the request ID, which identifies their response. Add one if
  // the caller sent none.
  if (findHeader(Headers, Names.RequestId_) == nullptr)
    Headers.push_back(
        {Names.RequestId_,
         absl::StrCat(absl::Hex(Config.Process_), "-", Request.Number_)});
}

void markAsCall(EntryRequest &Request, std::uint32_t ParentRank) {
  GatewayRequest &Outgoing = Request.GatewayRequest_;
  Outgoing.Chained_ = true;
  Request.Plan_.Chained_ = true;
  Outgoing.Rank_ = std::min(Outgoing.Rank_, ParentRank);
}

} // namespace lagoonhitch

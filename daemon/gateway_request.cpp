#include "daemon/gateway_request.h"

#include "daemon/forward_codec.h"
#include "net/header_names.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace lagoonhitch {

namespace {

std::string_view headerOf(const HttpRequest &Request, const std::string &Name) {
  const std::string *Value = findHeader(Request.Headers_, Name);
  return Value == nullptr ? std::string_view() : *Value;
}

} // namespace

RequestFingerprint fingerprintOf(const GatewayRequest &Request,
                                 const HeaderNames &Names) {
  const HttpRequest &Message = Request.HttpRequest_;
  RequestIdentity Identity;
  Identity.Service_ = Request.Service_;
  Identity.CallerService_ = headerOf(Message, Names.CallerService_);
  Identity.Method_ = Message.Method_;
  Identity.Target_ = Message.Target_;
  Identity.Body_ = Message.Body_;
  return fingerprintOf(Identity);
}

void setForwardedHeaders(GatewayRequest &Request, const HeaderNames &Names,
                         const std::string &CallerService,
                         const std::string &NewId) {
  std::vector<HttpHeader> &Headers = Request.HttpRequest_.Headers_;
  std::erase_if(Headers, [&Names](const HttpHeader &Header) {
    return (isHopByHop(Header.Name_) &&
            !absl::EqualsIgnoreCase(Header.Name_, "Host")) ||
           absl::StartsWithIgnoreCase(Header.Name_, ReservedHeaderPrefix) ||
           absl::EqualsIgnoreCase(Header.Name_, Names.CallerService_) ||
           absl::EqualsIgnoreCase(Header.Name_, Names.TargetUpstream_);
  });
  Headers.push_back({Names.CallerService_, CallerService});
  if (Request.Key_) {
    eraseHeader(Headers, Names.Key_);
    Headers.push_back({Names.Key_, absl::StrCat(*Request.Key_)});
  }
  // Upstreams echo the request ID, which identifies their response. Add one if
  // the caller sent none.
  if (findHeader(Headers, Names.RequestId_) == nullptr)
    Headers.push_back({Names.RequestId_, NewId});
}

LostRun describeLostRun(const GatewayRequest &Request,
                        const HeaderNames &Names) {
  constexpr std::size_t MaxSummaryLength = 120;
  const HttpRequest &Message = Request.HttpRequest_;
  LostRun Run;
  Run.Request_ = fingerprintOf(Request, Names);
  Run.RequestId_ = headerOf(Message, Names.RequestId_);
  Run.Summary_ = Message.Method_ + " " + Message.Target_;
  Run.Summary_.resize(std::min(Run.Summary_.size(), MaxSummaryLength));
  return Run;
}

} // namespace lagoonhitch

#include "daemon/gateway_request.h"

#include "net/header_names.h"

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
  Identity.Body_ = Message.Body_.text();
  return fingerprintOf(Identity);
}

} // namespace lagoonhitch

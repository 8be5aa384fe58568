#include "daemon/gateway_request.h"

#include "net/header_names.h"

namespace lagoonhitch {

namespace {

std::string_view headerOf(const HttpRequest &Request, const std::string &Name) {
  const std::string *Value = findHeader(Request.Headers_, Name);
  return Value == nullptr ? std::string_view() : *Value;
}

} // namespace

QueuedRequest toQueuedRequest(const GatewayRequest &Request,
                              std::uint64_t Number, Instant Now) {
  QueuedRequest Queued;
  Queued.Number_ = Number;
  Queued.Rank_ = Request.Rank_;
  Queued.ObjectiveAt_ = Request.ObjectiveAt_;
  Queued.Deadline_ = Request.Deadline_;
  Queued.Objective_ = Request.Objective_;
  Queued.Timeout_ = Request.Deadline_ - Now;
  Queued.RejectedBefore_ = Request.Id_.Attempt_ > 1;
  Queued.Class_ = Request.Class_;
  Queued.Chained_ = Request.Chained_;
  Queued.OthersCanRun_ = !Request.Key_ && !Queued.RejectedBefore_;
  return Queued;
}

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

bool isFromThisDaemon(const GatewayRequest &Request) {
  return Request.SentAt_ == Instant();
}

} // namespace lagoonhitch

#include "daemon/stored_answer.h"

#include <memory>

namespace lagoonhitch {

AnswerPtr toStoredAnswer(const GatewayResult &Result) {
  std::shared_ptr<lagoonhitch::Answer> Stored =
      std::make_shared<lagoonhitch::Answer>();
  Stored->Outcome_ = Result.Outcome_;
  Stored->RejectReason_ = Result.RejectReason_;
  Stored->RetryAfter_ = Result.RetryAfter_;
  Stored->RejectedByUpstream_ = Result.RejectedByUpstream_;
  Stored->Status_ = Result.Response_.Status_;
  for (const HttpHeader &Header : Result.Response_.Headers_)
    Stored->Headers_.emplace_back(Header.Name_, Header.Value_);
  Stored->Body_ = Result.Response_.Body_;
  return Stored;
}

} // namespace lagoonhitch

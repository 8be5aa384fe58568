#include "daemon/request_end.h"

namespace lagoonhitch {

RequestEnd requestEnd(HttpCallStatus Call, const GatewayResult &Result,
                      Duration TimeLeft) {
  const bool Garbled =
      Call == HttpCallStatus::Completed && Result.Outcome_ == Outcome::Unknown;
  RequestEnd End;
  if (Result.Outcome_ == Outcome::Ran)
    End.Kind_ = RequestEnd::Kind::Answered;
  else if (Garbled || Call == HttpCallStatus::ConnectionLost)
    End.Kind_ = RequestEnd::Kind::Broken;
  End.Status_ = Result.Response_.Status_;
  End.TimeLeft_ = TimeLeft;
  return End;
}

} // namespace lagoonhitch

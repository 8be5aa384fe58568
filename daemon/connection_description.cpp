#include "daemon/connection_description.h"

#include <absl/strings/str_cat.h>

namespace lagoonhitch {

std::string describeCallerEnd(ConnectionEnd End) {
  return End == ConnectionEnd::Closed
             ? std::string("the caller left")
             : absl::StrCat("the caller's connection ", describeEnd(End));
}

std::string describeCut(const std::string &Address, const ConnectionCut &Cut) {
  return absl::StrCat("a connection to ", Address, " ", describeEnd(Cut.Cause_),
                      ": ", Cut.OpenRequests_, " requests without response, ",
                      Cut.UnsentResponses_, " responses not sent, ",
                      Cut.UnhandledBytes_,
                      " bytes not handled, waiting for a request ",
                      toMillis(Cut.SinceIdle_).count(), " ms ago");
}

} // namespace lagoonhitch

#include "daemon/upstream_notice.h"

#include "net/header_names.h"
#include "net/http_message.h"

#include <absl/strings/numbers.h>

#include <cmath>
#include <string>

namespace lagoonhitch {

UpstreamNotice readUpstreamNotice(const HttpResponse &Response,
                                  const HeaderNames &Names) {
  UpstreamNotice Notice;
  const std::string *Leaving = findHeader(Response.Headers_, Names.Leaving_);
  Notice.Leaving_ = Leaving != nullptr && *Leaving == "1";
  const std::string *Limit = findHeader(Response.Headers_, Names.RateLimit_);
  if (Limit == nullptr)
    return Notice;
  double PerSecond = 0;
  const bool Readable = absl::SimpleAtod(*Limit, &PerSecond) &&
                        std::isfinite(PerSecond) && PerSecond >= 0;
  Notice.RateLimitUnreadable_ = !Readable;
  if (Readable)
    Notice.RateLimit_ = PerSecond;
  return Notice;
}

} // namespace lagoonhitch

#include "daemon/upstream_notice.h"

#include "limits/upstream_speed.h"
#include "net/header_names.h"
#include "net/http_message.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>

#include <cmath>
#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

/// Returns the last of the four numbers of a load header.
std::optional<std::uint32_t> parseSlowdown(const std::string *Load) {
  if (Load == nullptr)
    return std::nullopt;
  const std::vector<absl::string_view> Parts = absl::StrSplit(*Load, ',');
  constexpr std::size_t SlowdownPart = 3;
  std::uint32_t Percent = 0;
  const bool Valid = Parts.size() > SlowdownPart &&
                     absl::SimpleAtoi(Parts[SlowdownPart], &Percent) &&
                     isPlausibleSlowdown(Percent);
  return Valid ? std::optional<std::uint32_t>(Percent) : std::nullopt;
}

} // namespace

UpstreamNotice readUpstreamNotice(const HttpResponse &Response,
                                  const HeaderNames &Names) {
  UpstreamNotice Notice;
  const std::string *Leaving = findHeader(Response.Headers_, Names.Leaving_);
  Notice.Leaving_ = Leaving != nullptr && *Leaving == "1";
  Notice.SlowdownPercent_ =
      parseSlowdown(findHeader(Response.Headers_, Names.Load_));
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

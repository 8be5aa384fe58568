#include "daemon/crash_record.h"

#include "daemon/gateway_request.h"
#include "daemon/site_state.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Maximum number of crashes in a member record.
constexpr std::size_t MaxListedCrashes = 8;

} // namespace

void recordCrash(SiteState &Site, const UpstreamCrash &Crash, const Clock &Time,
                 const std::function<void(EventId, const std::string &)> &Log) {
  const Duration Age = Time.wallNow().time_since_epoch() - Crash.At_;
  for (const RequestFingerprint &Request :
       addCrash(Site.Crashes_, Crash, Age, Time.now()))
    Log(EventId::RequestQuarantined,
        absl::StrCat("fingerprint ", toString(Request), ", last crash of ",
                     Crash.Upstream_));
}

void mergeCrash(std::vector<UpstreamCrash> &Crashes,
                const UpstreamCrash &Crash) {
  const auto Found = std::find_if(
      Crashes.begin(), Crashes.end(), [&Crash](const UpstreamCrash &Listed) {
        return Listed.Upstream_ == Crash.Upstream_ &&
               Listed.StartMillis_ == Crash.StartMillis_;
      });
  if (Found == Crashes.end()) {
    Crashes.push_back(Crash);
    if (Crashes.size() > MaxListedCrashes)
      Crashes.erase(Crashes.begin());
    return;
  }
  for (const RequestFingerprint &Request : Crash.Requests_)
    if (std::find(Found->Requests_.begin(), Found->Requests_.end(), Request) ==
        Found->Requests_.end())
      Found->Requests_.push_back(Request);
}

std::optional<Duration> quarantineLeft(const SiteState &Site,
                                       const GatewayRequest &Request,
                                       const HeaderNames &Names, Instant Now) {
  if (Site.Crashes_.Suspects_.empty())
    return std::nullopt;
  return quarantineLeft(Site.Crashes_, fingerprintOf(Request, Names), Now);
}

} // namespace lagoonhitch

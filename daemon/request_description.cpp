#include "daemon/request_description.h"

#include "daemon/attempt_description.h"
#include "daemon/entry_request.h"
#include "daemon/gateway_result.h"
#include "daemon/site_state.h"

#include <absl/strings/str_cat.h>

namespace lagoonhitch {

std::string describeAttempt(const EntryRequest &Request,
                            const std::string &Cause, Instant Now) {
  std::string Text =
      absl::StrCat(Cause, "; attempt ", Request.Attempt_, " to ", Request.Host_,
                   ", sent ", toMillis(Now - Request.SentAt_).count(),
                   " ms ago, ", Request.StatusQueries_, " status queries");
  if (Request.LatestLookup_)
    absl::StrAppend(
        &Text, ", the latest found: ", describeLookup(*Request.LatestLookup_));
  return Text;
}

std::string describeRun(const EntryRequest &Request,
                        const GatewayResult &Result, Instant Now) {
  std::string Cause = "its gateway does not know the outcome";
  if (Request.EndCause_ != nullptr)
    Cause = Request.EndCause_;
  else if (Result.Outcome_ == Outcome::Ran)
    Cause = absl::StrCat("the upstream answered ", Result.Response_.Status_);
  return absl::StrCat("; latest run: ", describeAttempt(Request, Cause, Now));
}

std::string describeMissingRoute(const EntryRequest &Request,
                                 const SiteState &Site) {
  constexpr std::size_t MaxTargetLength = 120;
  const HttpRequest &Source = Request.GatewayRequest_.HttpRequest_;
  const std::string *Host = findHeader(Source.Headers_, "Host");
  return absl::StrCat("no route takes ", Host == nullptr ? "" : *Host,
                      Source.Target_.substr(0, MaxTargetLength),
                      ", configuration ",
                      Site.Manifest_ == nullptr ? 0 : Site.Manifest_->Version_);
}

std::string describeDecision(const EntryRequest &Request,
                             const std::string &Reason, const SiteState &Site,
                             Instant Now) {
  std::string Text = absl::StrCat(
      Reason, "; ", Request.GatewayRequest_.Service_, ", attempt ",
      Request.Plan_.SentAttempts_, ", runs ", Request.Plan_.Runs_, ", after ",
      toMillis(Now - Request.ArrivedAt_).count(), " ms");
  if (Request.GatewayRequest_.Key_)
    absl::StrAppend(&Text, ", key ", *Request.GatewayRequest_.Key_);
  if (Site.Manifest_ != nullptr)
    absl::StrAppend(&Text, ", configuration ", Site.Manifest_->Version_);
  if (const FleetMember *Member = findMember(Site.Fleet_, Request.Host_))
    absl::StrAppend(&Text, describeLastHost(*Member, Now));
  absl::StrAppend(&Text, Request.LastRun_);
  return Text;
}

} // namespace lagoonhitch

#include "daemon/manifest_caller_interface.h"

#include "manifest/route_match.h"

#include <absl/strings/numbers.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

/// Returns the class of a route's requests.
std::uint32_t classOf(const Route &Matched) {
  const XXH64_hash_t Seed =
      XXH3_64bits(Matched.Hostname_.data(), Matched.Hostname_.size());
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(
      Matched.Prefix_.data(), Matched.Prefix_.size(), Seed));
}

std::optional<std::int64_t> parseNumber(const std::string *Text) {
  std::int64_t Number = 0;
  if (Text == nullptr || !absl::SimpleAtoi(*Text, &Number))
    return std::nullopt;
  return Number;
}

} // namespace

ManifestCallerInterface::ManifestCallerInterface(const SiteState &Site,
                                                 HeaderNames Names)
    : Site_(Site), Names_(std::move(Names)) {}

RoutedRequest ManifestCallerInterface::route(const HttpRequest &Request,
                                             std::uint64_t Draw) const {
  RoutedRequest Routed;
  const std::string *Id = findHeader(Request.Headers_, Names_.RequestId_);
  if (Id != nullptr)
    Routed.CallerRequestId_ = *Id;
  if (Id != nullptr && Names_.ParentRequestId_)
    Routed.ParentRequestId_ = Names_.ParentRequestId_(*Id);
  if (Site_.Manifest_ == nullptr) {
    Routed.Kind_ = RoutedRequest::Kind::NoConfiguration;
    return Routed;
  }
  const std::string *Host = findHeader(Request.Headers_, "Host");
  const Route *Found = findRoute(*Site_.Manifest_, Host == nullptr ? "" : *Host,
                                 Request.Target_);
  if (Found == nullptr)
    return Routed;
  Routed.Kind_ = RoutedRequest::Kind::Found;
  Routed.Service_ = pickService(*Found, Draw);
  Routed.Idempotent_ = Found->Idempotent_;
  Routed.MaxAttempts_ = Found->MaxAttempts_;
  Routed.Class_ = classOf(*Found);
  Routed.Rank_ = Found->Priority_;
  Routed.Objective_ = Found->Objective_;
  Routed.Timeout_ = Found->Timeout_;
  if (const auto Requested =
          parseNumber(findHeader(Request.Headers_, Names_.Deadline_)))
    Routed.Timeout_ = std::min<Duration>(Routed.Timeout_,
                                         std::chrono::milliseconds(*Requested));
  const auto Key = parseNumber(findHeader(Request.Headers_, Names_.Key_));
  const bool Keyed =
      Key && *Key >= 0 && *Key <= LastKey && isSharded(Site_, Routed.Service_);
  if (Keyed)
    Routed.Key_ = static_cast<KeyId>(*Key);
  return Routed;
}

void ManifestCallerInterface::addResponseHeaders(HttpResponse &Response,
                                                 const RoutedRequest &Request,
                                                 Outcome FinalOutcome) const {
  // An upstream's response already has the request ID.
  if (FinalOutcome == Outcome::Ran || Request.CallerRequestId_.empty())
    return;
  Response.Headers_.push_back({Names_.RequestId_, Request.CallerRequestId_});
}

} // namespace lagoonhitch

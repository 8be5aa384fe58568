#include "daemon/settings_caller_interface.h"

#include "ownership/shard_hash.h"
#include "settings/rule_match.h"

#include <absl/strings/numbers.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr const char *OutcomeHeader = "Lagoonhitch-Outcome";
constexpr const char *DeadlineHeader = "Lagoonhitch-Deadline-Ms";
constexpr const char *RequestIdHeader = "Lagoonhitch-Request-Id";

/// The maximum number of upstreams that may execute a repeatable request.
constexpr std::uint32_t MaxRepeatableAttempts = 2;
/// The latency objective of a request is its timeout divided by this.
constexpr int ObjectiveDivisor = 4;

std::optional<std::string> findKey(const ServiceSettings &Service,
                                   const HttpRequest &Request) {
  if (Service.KeySource_ != KeySource::Header)
    return keyFromTarget(Service, Request.Target_);
  const std::string *Value = findHeader(Request.Headers_, Service.KeyName_);
  if (Value == nullptr || Value->empty())
    return std::nullopt;
  return *Value;
}

std::uint32_t rankOf(Priority Class) {
  return static_cast<std::uint32_t>(Priority::High) -
         static_cast<std::uint32_t>(Class);
}

} // namespace

SettingsCallerInterface::SettingsCallerInterface(
    std::vector<ServiceSettings> Services, bool Internal)
    : Services_(std::move(Services)), Internal_(Internal) {}

RoutedRequest SettingsCallerInterface::route(const HttpRequest &Request,
                                             std::uint64_t /*Draw*/) const {
  RoutedRequest Routed;
  if (const std::string *Id = findHeader(Request.Headers_, RequestIdHeader))
    Routed.CallerRequestId_ = *Id;
  const ServiceSettings *Service = findService(Services_, Request.Target_);
  if (Service == nullptr || (Service->Internal_ && !Internal_))
    return Routed;
  const RequestRule Rule = findRule(*Service, Request.Method_, Request.Target_);
  Routed.Service_ = Service->Name_;
  Routed.Idempotent_ = Rule.Idempotent_;
  Routed.MaxAttempts_ = Rule.Idempotent_ ? MaxRepeatableAttempts : 1;
  Routed.Class_ = static_cast<std::uint32_t>(XXH3_64bits_withSeed(
      Rule.Path_.data(), Rule.Path_.size(),
      XXH3_64bits(Rule.Method_.data(), Rule.Method_.size())));
  Routed.Rank_ = rankOf(Rule.Priority_);
  Routed.Timeout_ = Rule.Timeout_;
  std::int64_t Requested = 0;
  const std::string *Text = findHeader(Request.Headers_, DeadlineHeader);
  if (Text != nullptr && absl::SimpleAtoi(*Text, &Requested) && Requested > 0)
    Routed.Timeout_ = std::min<Duration>(Routed.Timeout_,
                                         std::chrono::milliseconds(Requested));
  Routed.Objective_ = Routed.Timeout_ / ObjectiveDivisor;
  Routed.Kind_ = RoutedRequest::Kind::Found;
  if (!Service->Sharded_)
    return Routed;
  const std::optional<std::string> Key = findKey(*Service, Request);
  if (!Key) {
    Routed.Kind_ = RoutedRequest::Kind::NoKey;
    return Routed;
  }
  Routed.Key_ = shardOfKey(*Key, LastKey + 1);
  return Routed;
}

void SettingsCallerInterface::addResponseHeaders(HttpResponse &Response,
                                                 const RoutedRequest &Request,
                                                 Outcome FinalOutcome) const {
  // Only the daemon sets the outcome; remove a value from the upstream.
  eraseHeader(Response.Headers_, OutcomeHeader);
  Response.Headers_.push_back({OutcomeHeader, outcomeName(FinalOutcome)});
  if (!Request.CallerRequestId_.empty())
    Response.Headers_.push_back({RequestIdHeader, Request.CallerRequestId_});
}

} // namespace lagoonhitch

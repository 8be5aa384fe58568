/// \file
/// The keys that an UpstreamStandin holds: grants and releases by calls, and in
/// heartbeats and their replies.

#include "tests/standin/upstream_standin.h"

#include "tests/standin/request_headers.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lagoonhitch {

using Json = nlohmann::json;

void UpstreamStandin::handleGrant(const HttpRequest &Request,
                                  HttpExchange &Exchange) {
  const std::string Target = headerText(Request, "X-Target-Instance");
  if (!Target.empty() && Target != Options_.InstanceId_) {
    HttpResponse Response = makeResponse(Request, 421);
    Response.Headers_.push_back({"X-Not-Executed", "1"});
    Exchange.respond(std::move(Response));
    return;
  }
  const Json Body = Json::parse(Request.Body_.text(), nullptr, false);
  if (!Body.is_object()) {
    Exchange.respond(makeResponse(Request, 400));
    return;
  }
  Hold Granted;
  Granted.Range_ = {Body.at("from").get<KeyId>(), Body.at("to").get<KeyId>()};
  Granted.Fence_ = Body.at("fence").get<std::uint64_t>();
  Granted.ExpiresAt_ =
      Time_.now() +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Body.at("hold-s").get<double>()));
  if (hasSeenHigherFence(Granted)) {
    Exchange.respond(makeResponse(Request, 409));
    return;
  }
  addHold(Granted);
  Exchange.respond(makeResponse(Request, 200));
}

bool UpstreamStandin::hasSeenHigherFence(const Hold &Granted) const {
  return std::any_of(HighestFences_.begin(), HighestFences_.end(),
                     [&Granted](const Hold &SeenFence) {
                       return overlaps(SeenFence.Range_, Granted.Range_) &&
                              SeenFence.Fence_ > Granted.Fence_;
                     });
}

void UpstreamStandin::addHold(const Hold &Granted) {
  std::erase_if(Holds_, [&Granted](const Hold &Existing) {
    return Existing.Range_ == Granted.Range_;
  });
  Holds_.insert(Holds_.begin(), Granted);
  std::erase_if(HighestFences_, [&Granted](const Hold &Existing) {
    return Existing.Range_ == Granted.Range_;
  });
  HighestFences_.push_back(Granted);
}

void UpstreamStandin::handleRelease(
    const HttpRequest &Request, const std::shared_ptr<HttpExchange> &Exchange) {
  const Json Body = Json::parse(Request.Body_.text(), nullptr, false);
  if (!Body.is_object()) {
    Exchange->respond(makeResponse(Request, 400));
    return;
  }
  const KeyRange Range = {Body.at("from").get<KeyId>(),
                          Body.at("to").get<KeyId>()};
  removeHolds(Range);
  Releases_.emplace_back(Range, Exchange);
  completeReleases();
}

void UpstreamStandin::removeHolds(const KeyRange &Range) {
  std::vector<Hold> Remaining;
  for (const Hold &Existing : Holds_) {
    if (!overlaps(Existing.Range_, Range)) {
      Remaining.push_back(Existing);
      continue;
    }
    Hold Remainder = Existing;
    if (Existing.Range_.First_ < Range.First_) {
      Remainder.Range_ = {Existing.Range_.First_, Range.First_ - 1};
      Remaining.push_back(Remainder);
    }
    if (Existing.Range_.Last_ > Range.Last_) {
      Remainder.Range_ = {Range.Last_ + 1, Existing.Range_.Last_};
      Remaining.push_back(Remainder);
    }
  }
  Holds_ = std::move(Remaining);
}

bool UpstreamStandin::isRunningKeysIn(const KeyRange &Range) const {
  return std::any_of(
      Running_.begin(), Running_.end(), [&Range](const auto &Entry) {
        const std::int64_t Key =
            headerNumber(Entry.second.Request_, "X-Shard-Key");
        return Key >= 0 && contains(Range, static_cast<KeyId>(Key));
      });
}

void UpstreamStandin::completeReleases() {
  for (auto Pending = Releases_.begin(); Pending != Releases_.end();) {
    if (isRunningKeysIn(Pending->first)) {
      ++Pending;
      continue;
    }
    HttpResponse Response;
    Response.Headers_.push_back(
        {"X-Handover", absl::StrCat("h-", Options_.InstanceId_)});
    Pending->second->respond(std::move(Response));
    Pending = Releases_.erase(Pending);
  }
  std::erase_if(EndingHolds_, [this](const Hold &Ending) {
    if (isRunningKeysIn(Ending.Range_))
      return false;
    UnreportedReleases_.push_back(Ending.Range_);
    return true;
  });
}

void UpstreamStandin::reportKeys(Json &Heartbeat) const {
  Json Holds = Json::array();
  for (const Hold &Existing : Holds_)
    if (Time_.now() < Existing.ExpiresAt_)
      Holds.push_back(
          {Existing.Range_.First_, Existing.Range_.Last_, Existing.Fence_});
  for (const Hold &Ending : EndingHolds_)
    Holds.push_back({Ending.Range_.First_, Ending.Range_.Last_, Ending.Fence_});
  Json Releases = Json::array();
  for (const KeyRange &Range : UnreportedReleases_)
    Releases.push_back(
        {Range.First_, Range.Last_, absl::StrCat("h-", Options_.InstanceId_)});
  Heartbeat["holds"] = std::move(Holds);
  Heartbeat["is-released"] = std::move(Releases);
}

void UpstreamStandin::onHeartbeatReply(const HttpResult &Result, Instant SentAt,
                                       std::size_t ReportedReleases) {
  const bool Acknowledged = Options_.KeysInHeartbeats_ &&
                            Result.Status_ == HttpCallStatus::Completed &&
                            Result.Response_.Status_ == 200;
  if (!Acknowledged)
    return;
  const auto Reported = static_cast<std::ptrdiff_t>(
      std::min(ReportedReleases, UnreportedReleases_.size()));
  UnreportedReleases_.erase(UnreportedReleases_.begin(),
                            UnreportedReleases_.begin() + Reported);
  const Json Reply = Json::parse(Result.Response_.Body_, nullptr, false);
  if (Reply.is_object() && Reply.contains("holds"))
    declareHolds(Reply, SentAt);
}

/// Takes the declared keys and releases all others.
void UpstreamStandin::declareHolds(const Json &Reply, Instant SentAt) {
  const Instant ExpiresAt =
      SentAt +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Reply.at("hold-s").get<double>()));
  std::vector<Hold> Declared;
  for (const Json &Row : Reply.at("holds"))
    Declared.push_back({{Row.at(0).get<KeyId>(), Row.at(1).get<KeyId>()},
                        Row.at(2).get<std::uint64_t>(),
                        ExpiresAt});
  for (const Hold &Kept : Declared)
    removeHolds(Kept.Range_);
  // An expired hold is not reported as released.
  for (const Hold &Left : Holds_)
    if (Time_.now() < Left.ExpiresAt_)
      EndingHolds_.push_back(Left);
  Holds_.clear();
  for (const Hold &Granted : Declared)
    if (!hasSeenHigherFence(Granted))
      addHold(Granted);
  completeReleases();
  // Releases are reported soon.
  if (!EndingHolds_.empty() || !UnreportedReleases_.empty())
    scheduleHeartbeat();
}

} // namespace lagoonhitch

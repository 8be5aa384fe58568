#include "tests/standin/upstream_standin.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds BeatEvery{300};

std::int64_t headerNumber(const HttpRequest &Request, const char *Name) {
  const std::string *Text = findHeader(Request.Headers_, Name);
  std::int64_t Value = 0;
  const bool Read = Text != nullptr && absl::SimpleAtoi(*Text, &Value);
  return Read ? Value : -1;
}

std::string headerText(const HttpRequest &Request, const char *Name) {
  const std::string *Text = findHeader(Request.Headers_, Name);
  return Text == nullptr ? std::string() : *Text;
}

std::int64_t microsOf(Instant At) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             At.time_since_epoch())
      .count();
}

} // namespace

InstanceStandin::InstanceStandin(IoLoop &Loop, const Clock &Time,
                                 HttpClient &Client,
                                 InstanceStandinOptions Options)
    : Loop_(Loop), Time_(Time), Client_(Client), Options_(std::move(Options)),
      Born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                Time.wallNow().time_since_epoch())
                .count()),
      ColdUntil_(Time.now()) {
  if (!Options_.Runs_.empty())
    Runs_.open(Options_.Runs_, std::ios::app);
}

void InstanceStandin::beatForever(const std::string &Own,
                                  const std::string &Daemon) {
  const double ColdLeft =
      std::chrono::duration<double>(ColdUntil_ - Time_.now()).count();
  const Json Body = {{"service", Options_.Service_},
                     {"address", Own},
                     {"zone", Options_.Zone_},
                     {"version", "v1"},
                     {"slots", Options_.Slots_},
                     {"state", Draining_ ? "draining" : "ready"},
                     {"cold-left-s", std::max(0.0, ColdLeft)},
                     {"sequence", ++Sequence_},
                     {"born", Born_}};
  HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Target_ = "/instances/" + Options_.Instance_;
  Request.Headers_.push_back({"Content-Type", "application/json"});
  Request.Body_ = Body.dump();
  HttpCallOptions Call;
  Call.Timeout_ = std::chrono::seconds(1);
  Client_.send(Daemon, std::move(Request), Call, [](const HttpResult &) {});
  BeatTimer_ =
      Loop_.after(BeatEvery, [this, Own, Daemon] { beatForever(Own, Daemon); });
}

void InstanceStandin::handle(const HttpRequest &Request,
                             const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target_ == "/_mode") {
    setMode(Request, *Exchange);
    return;
  }
  if (Request.Target_ == "/grant") {
    grant(Request, *Exchange);
    return;
  }
  if (Request.Target_ == "/release") {
    release(Request, Exchange);
    return;
  }
  if (Request.Target_ == "/health") {
    HttpResponse Health = respondTo(Request, Draining_ ? 503 : 200);
    const auto Cold = toMillis(ColdUntil_ - Time_.now()).count();
    if (Cold > 0)
      Health.Headers_.push_back({"X-Cold-Ms", std::to_string(Cold)});
    Exchange->respond(std::move(Health));
    return;
  }
  admit(Request, Exchange);
}

HttpResponse InstanceStandin::respondTo(const HttpRequest &Request,
                                        unsigned Status) const {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"X-Instance-Id", Options_.Instance_});
  const std::string Id = headerText(Request, "X-Request-Id");
  if (!Id.empty())
    Response.Headers_.push_back({"X-Request-Id", Id});
  Response.Headers_.push_back(
      {"X-Server-Load", absl::StrCat(Running_.size(), ",", Waiting_.size(), ",",
                                     Options_.Slots_, ",100")});
  return Response;
}

void InstanceStandin::grant(const HttpRequest &Request,
                            HttpExchange &Exchange) {
  const Json Body = Json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object()) {
    Exchange.respond(respondTo(Request, 400));
    return;
  }
  Held Granted;
  Granted.Range_ = {Body.at("from").get<KeyId>(), Body.at("to").get<KeyId>()};
  Granted.Fence_ = Body.at("fence").get<std::uint64_t>();
  Granted.Until_ =
      Time_.now() +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Body.at("hold-s").get<double>()));
  for (const Held &Seen : Seen_)
    if (overlaps(Seen.Range_, Granted.Range_) && Seen.Fence_ > Granted.Fence_) {
      Exchange.respond(respondTo(Request, 409));
      return;
    }
  std::erase_if(Holds_, [&Granted](const Held &One) {
    return One.Range_ == Granted.Range_;
  });
  Holds_.insert(Holds_.begin(), Granted);
  std::erase_if(Seen_, [&Granted](const Held &One) {
    return One.Range_ == Granted.Range_;
  });
  Seen_.push_back(Granted);
  Exchange.respond(respondTo(Request, 200));
}

void InstanceStandin::release(const HttpRequest &Request,
                              const std::shared_ptr<HttpExchange> &Exchange) {
  const Json Body = Json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object()) {
    Exchange->respond(respondTo(Request, 400));
    return;
  }
  const KeyRange Range = {Body.at("from").get<KeyId>(),
                          Body.at("to").get<KeyId>()};
  std::vector<Held> Left;
  for (const Held &One : Holds_) {
    if (!overlaps(One.Range_, Range)) {
      Left.push_back(One);
      continue;
    }
    Held Part = One;
    if (One.Range_.First_ < Range.First_) {
      Part.Range_ = {One.Range_.First_, Range.First_ - 1};
      Left.push_back(Part);
    }
    if (One.Range_.Last_ > Range.Last_) {
      Part.Range_ = {Range.Last_ + 1, One.Range_.Last_};
      Left.push_back(Part);
    }
  }
  Holds_ = std::move(Left);
  Releases_.emplace_back(Range, Exchange);
  answerReleases();
}

bool InstanceStandin::runsKeysOf(const KeyRange &Range) const {
  return std::any_of(
      Running_.begin(), Running_.end(), [&Range](const auto &Entry) {
        const std::int64_t Key =
            headerNumber(Entry.second.Request_, "X-Shard-Key");
        return Key >= 0 && contains(Range, static_cast<KeyId>(Key));
      });
}

void InstanceStandin::answerReleases() {
  for (auto At = Releases_.begin(); At != Releases_.end();) {
    if (runsKeysOf(At->first)) {
      ++At;
      continue;
    }
    HttpResponse Response;
    Response.Headers_.push_back(
        {"X-Handover", absl::StrCat("h-", Options_.Instance_)});
    At->second->respond(std::move(Response));
    At = Releases_.erase(At);
  }
}

const InstanceStandin::Held *
InstanceStandin::holdOf(const HttpRequest &Request) const {
  const std::int64_t Key = headerNumber(Request, "X-Shard-Key");
  for (const Held &One : Holds_)
    if (Key >= 0 && contains(One.Range_, static_cast<KeyId>(Key)) &&
        Time_.now() < One.Until_)
      return &One;
  return nullptr;
}

bool InstanceStandin::isColdOverrun() {
  const Instant Now = Time_.now();
  if (Now >= ColdUntil_)
    return false;
  ColdStarts_.push_back(Now);
  while (!ColdStarts_.empty() &&
         ColdStarts_.front() + std::chrono::seconds(1) < Now)
    ColdStarts_.pop_front();
  return ColdStarts_.size() > Options_.ColdPerSecond_ * 2;
}

void InstanceStandin::admit(const HttpRequest &Request,
                            const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string Target = headerText(Request, "X-Target-Instance");
  const Held *Hold = holdOf(Request);
  const bool Misdirected = (!Target.empty() && Target != Options_.Instance_) ||
                           (Options_.Divided_ && Hold == nullptr);
  if (Misdirected) {
    HttpResponse Response = respondTo(Request, 421);
    Response.Headers_.push_back({"X-Not-Executed", "1"});
    Exchange->respond(std::move(Response));
    return;
  }
  // A cold upstream that gets too much ends.
  if (isColdOverrun())
    std::abort();
  if (Running_.size() < Options_.Slots_)
    start(Request, Exchange, Hold == nullptr ? 0 : Hold->Fence_);
  else if (Waiting_.size() < Options_.Queue_)
    Waiting_.emplace_back(Request, Exchange);
  else
    Hung_.push_back(Exchange);
}

void InstanceStandin::start(const HttpRequest &Request,
                            const std::shared_ptr<HttpExchange> &Exchange,
                            std::uint64_t Fence) {
  const std::uint64_t Number = ++NextRun_;
  Run &Started = Running_[Number];
  Started.Request_ = Request;
  Started.Exchange_ = Exchange;
  Started.Begin_ = Time_.now();
  Started.Fence_ = Fence;
  const std::int64_t Millis = headerNumber(Request, "X-Deadline-Ms");
  Started.Deadline_ = Millis < 0
                          ? Instant::max()
                          : Started.Begin_ + std::chrono::milliseconds(Millis);
  record(Started, nullptr);
  Timers_[Number] =
      Loop_.after(Options_.ServiceTime_, [this, Number] { finish(Number); });
}

/// A run that is found past its deadline, as after a freeze, has no effect
/// any more: it ended at the deadline.
void InstanceStandin::finish(std::uint64_t Number) {
  const Run Ended = Running_.at(Number);
  Running_.erase(Number);
  Timers_.erase(Number);
  const Instant Now = Time_.now();
  const Instant End = std::min(Now, Ended.Deadline_);
  record(Ended, &End);
  HttpResponse Response =
      respondTo(Ended.Request_, Now > Ended.Deadline_ ? 504 : 200);
  if (Now <= Ended.Deadline_) {
    Response.Headers_.push_back({"X-Response-Signature", "s"});
    // An upstream's own word on the outcome must not reach callers.
    Response.Headers_.push_back({"Lagoonhitch-Outcome", "not-run"});
    Response.Body_ = Json({{"instance", Options_.Instance_},
                           {"target", Ended.Request_.Target_},
                           {"token", Ended.Fence_},
                           {"echo", Ended.Request_.Body_}})
                         .dump();
  }
  Ended.Exchange_->respond(std::move(Response));
  answerReleases();
  if (Waiting_.empty())
    return;
  const auto [Request, Exchange] = Waiting_.front();
  Waiting_.pop_front();
  admit(Request, Exchange);
}

void InstanceStandin::record(const Run &One, const Instant *End) {
  if (!Runs_.is_open())
    return;
  Json Line = {{"id", headerText(One.Request_, "X-Request-Id")},
               {"call", headerText(One.Request_, "X-Call")},
               {"method", One.Request_.Method_},
               {"target", One.Request_.Target_},
               {"token", One.Fence_},
               {"instance", Options_.Instance_},
               {"begin_us", microsOf(One.Begin_)}};
  if (End != nullptr)
    Line["end_us"] = microsOf(*End);
  Runs_ << Line.dump() << "\n" << std::flush;
}

void InstanceStandin::setMode(const HttpRequest &Request,
                              HttpExchange &Exchange) {
  const Json Mode = Json::parse(Request.Body_, nullptr, false);
  HttpResponse Response;
  if (!Mode.is_object()) {
    Response.Status_ = 400;
    Exchange.respond(std::move(Response));
    return;
  }
  if (Mode.contains("daemon"))
    beatForever(Mode.at("own").get<std::string>(),
                Mode.at("daemon").get<std::string>());
  Draining_ = Mode.value("draining", Draining_);
  if (Mode.contains("cold_ms"))
    ColdUntil_ =
        Time_.now() + std::chrono::milliseconds(Mode.at("cold_ms").get<int>());
  Options_.ServiceTime_ = std::chrono::microseconds(
      Mode.value("service_us", Options_.ServiceTime_.count()));
  Exchange.respond(std::move(Response));
}

} // namespace lagoonhitch

#include "tests/standin/upstream_standin.h"

#include "tests/standin/request_headers.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds HeartbeatInterval{300};
/// The same if the replies declare keys.
constexpr std::chrono::milliseconds DeclaringHeartbeatInterval{870};
/// Interval of the heartbeats until a release of keys has been reported.
constexpr std::chrono::milliseconds ReleaseHeartbeatInterval{100};

/// Size of a request body from which it is not repeated in the response, which
/// would exceed the daemon's limit of responses.
constexpr std::size_t MaxEchoBytes = std::size_t{7} * 1024 * 1024;

std::int64_t microsOf(Instant At) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             At.time_since_epoch())
      .count();
}

} // namespace

UpstreamStandin::UpstreamStandin(IoLoop &Loop, const Clock &Time,
                                 HttpClient &Client,
                                 UpstreamStandinOptions Options)
    : Loop_(Loop), Time_(Time), Client_(Client), Options_(std::move(Options)),
      StartMillis_(std::chrono::duration_cast<std::chrono::milliseconds>(
                       Time.wallNow().time_since_epoch())
                       .count()),
      ColdUntil_(Time.now()) {
  if (!Options_.RunsFile_.empty())
    Runs_.open(Options_.RunsFile_, std::ios::app);
}

void UpstreamStandin::startHeartbeats(const std::string &Address,
                                      const std::string &Daemon) {
  const double ColdSeconds =
      std::chrono::duration<double>(ColdUntil_ - Time_.now()).count();
  Json Body = {{"service", Options_.Service_},
               {"address", Address},
               {"zone", Options_.Zone_},
               {"version", "v1"},
               {"slots", Options_.Slots_},
               {"state", Draining_ ? "draining" : "ready"},
               {"cold-left-s", std::max(0.0, ColdSeconds)},
               {"sequence", ++Sequence_},
               {"born", StartMillis_}};
  if (Options_.KeysInHeartbeats_)
    reportKeys(Body);
  HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Target_ = "/instances/" + Options_.InstanceId_;
  Request.Headers_.push_back({"Content-Type", "application/json"});
  Request.Body_ = Body.dump();
  HttpCallOptions Options;
  Options.Timeout_ = std::chrono::seconds(1);
  Client_.send(
      Daemon, std::move(Request), Options,
      [this, SentAt = Time_.now(),
       Reported = UnreportedReleases_.size()](const HttpResult &Result) {
        onHeartbeatReply(Result, SentAt, Reported);
      });
  HeartbeatAddress_ = Address;
  Daemon_ = Daemon;
  scheduleHeartbeat();
}

void UpstreamStandin::scheduleHeartbeat() {
  HeartbeatTimer_ = Loop_.after(heartbeatInterval(), [this] {
    startHeartbeats(HeartbeatAddress_, Daemon_);
  });
}

std::chrono::milliseconds UpstreamStandin::heartbeatInterval() const {
  if (!Options_.KeysInHeartbeats_)
    return HeartbeatInterval;
  const bool Releasing = !EndingHolds_.empty() || !UnreportedReleases_.empty();
  return Releasing ? ReleaseHeartbeatInterval : DeclaringHeartbeatInterval;
}

void UpstreamStandin::handle(const HttpRequest &Request,
                             const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target_ == "/_mode") {
    setMode(Request, *Exchange);
    return;
  }
  if (Request.Target_ == "/grant") {
    handleGrant(Request, *Exchange);
    return;
  }
  if (Request.Target_ == "/release") {
    handleRelease(Request, Exchange);
    return;
  }
  if (Request.Target_ == "/health") {
    HttpResponse Health = makeResponse(Request, Draining_ ? 503 : 200);
    const auto ColdMillis = toMillis(ColdUntil_ - Time_.now()).count();
    if (ColdMillis > 0)
      Health.Headers_.push_back({"X-Cold-Ms", std::to_string(ColdMillis)});
    Exchange->respond(std::move(Health));
    return;
  }
  admit(Request, Exchange);
}

HttpResponse UpstreamStandin::makeResponse(const HttpRequest &Request,
                                           unsigned Status) const {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"X-Instance-Id", Options_.InstanceId_});
  const std::string Id = headerText(Request, "X-Request-Id");
  if (!Id.empty())
    Response.Headers_.push_back({"X-Request-Id", Id});
  Response.Headers_.push_back(
      {"X-Server-Load", absl::StrCat(Running_.size(), ",", Waiting_.size(), ",",
                                     Options_.Slots_, ",100")});
  if (!StatedLimit_.empty())
    Response.Headers_.push_back({"Server-Limit", StatedLimit_});
  if (LeavingStated_)
    Response.Headers_.push_back({"Server-Leaving", "1"});
  return Response;
}

const UpstreamStandin::Hold *
UpstreamStandin::findHold(const HttpRequest &Request) const {
  const std::int64_t Key = headerNumber(Request, "X-Shard-Key");
  for (const Hold &Existing : Holds_)
    if (Key >= 0 && contains(Existing.Range_, static_cast<KeyId>(Key)) &&
        Time_.now() < Existing.ExpiresAt_)
      return &Existing;
  return nullptr;
}

bool UpstreamStandin::exceedsColdRate() {
  const Instant Now = Time_.now();
  if (Now >= ColdUntil_)
    return false;
  ColdArrivals_.push_back(Now);
  while (!ColdArrivals_.empty() &&
         ColdArrivals_.front() + std::chrono::seconds(1) < Now)
    ColdArrivals_.pop_front();
  return ColdArrivals_.size() > Options_.ColdRequestsPerSecond_ * 2;
}

void UpstreamStandin::admit(const HttpRequest &Request,
                            const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string Target = headerText(Request, "X-Target-Instance");
  const Hold *CurrentHold = findHold(Request);
  const bool IsMisdirected =
      (!Target.empty() && Target != Options_.InstanceId_) ||
      (Options_.Sharded_ && CurrentHold == nullptr);
  if (IsMisdirected) {
    HttpResponse Response = makeResponse(Request, 421);
    Response.Headers_.push_back({"X-Not-Executed", "1"});
    Exchange->respond(std::move(Response));
    return;
  }
  if (Failed_.contains(headerText(Request, "X-Request-Id"))) {
    HttpResponse Response = makeResponse(Request, 503);
    Response.Headers_.push_back({"X-Not-Executed", "1"});
    Exchange->respond(std::move(Response));
    return;
  }
  // A cold upstream crashes under overload.
  if (exceedsColdRate())
    std::abort();
  if (Running_.size() < Options_.Slots_)
    startRun(Request, Exchange,
             CurrentHold == nullptr ? 0 : CurrentHold->Fence_);
  else if (Waiting_.size() < Options_.QueueCapacity_)
    Waiting_.emplace_back(Request, Exchange);
  else
    Unanswered_.push_back(Exchange);
}

void UpstreamStandin::startRun(const HttpRequest &Request,
                               const std::shared_ptr<HttpExchange> &Exchange,
                               std::uint64_t Fence) {
  const std::uint64_t RunId = ++LastRunId_;
  Run &Started = Running_[RunId];
  Started.Request_ = Request;
  Started.Exchange_ = Exchange;
  Started.StartedAt_ = Time_.now();
  Started.Fence_ = Fence;
  const std::int64_t Millis = headerNumber(Request, "X-Deadline-Ms");
  Started.Deadline_ =
      Millis < 0 ? Instant::max()
                 : Started.StartedAt_ + std::chrono::milliseconds(Millis);
  recordRun(Started, nullptr);
  if (!CrashOn_.empty() && Request.Target_.find(CrashOn_) != std::string::npos)
    std::abort();
  Timers_[RunId] = Loop_.after(FailsAtOnce_ ? std::chrono::microseconds(0)
                                            : Options_.ServiceTime_,
                               [this, RunId] { finishRun(RunId); });
}

/// Ends a run. If the deadline has passed, for example because the process was
/// suspended, the run has no effect and is recorded as ended at the deadline.
void UpstreamStandin::finishRun(std::uint64_t RunId) {
  const Run Ended = Running_.at(RunId);
  Running_.erase(RunId);
  Timers_.erase(RunId);
  const Instant Now = Time_.now();
  const Instant End = std::min(Now, Ended.Deadline_);
  recordRun(Ended, &End);
  unsigned Status = FailsAtOnce_ ? 500 : 200;
  if (FailsOnce_) {
    Status = 500;
    Failed_.insert(headerText(Ended.Request_, "X-Request-Id"));
  }
  HttpResponse Response =
      makeResponse(Ended.Request_, Now > Ended.Deadline_ ? 504 : Status);
  if (Now <= Ended.Deadline_) {
    Response.Headers_.push_back({"X-Response-Signature", "s"});
    // The daemon must not pass this header of an upstream on to callers.
    Response.Headers_.push_back({"Lagoonhitch-Outcome", "not-run"});
    Response.Body_ = Json({{"instance", Options_.InstanceId_},
                           {"target", Ended.Request_.Target_},
                           {"token", Ended.Fence_},
                           {"echo", Ended.Request_.Body_.size() > MaxEchoBytes
                                        ? std::string()
                                        : Ended.Request_.Body_.text()}})
                         .dump();
  }
  Ended.Exchange_->respond(std::move(Response));
  completeReleases();
  if (Waiting_.empty())
    return;
  const auto [Request, Exchange] = Waiting_.front();
  Waiting_.pop_front();
  admit(Request, Exchange);
}

void UpstreamStandin::recordRun(const Run &Recorded, const Instant *End) {
  if (!Runs_.is_open())
    return;
  Json Line = {{"id", headerText(Recorded.Request_, "X-Request-Id")},
               {"call", headerText(Recorded.Request_, "X-Call")},
               {"method", Recorded.Request_.Method_},
               {"target", Recorded.Request_.Target_},
               {"token", Recorded.Fence_},
               {"instance", Options_.InstanceId_},
               {"begin_us", microsOf(Recorded.StartedAt_)}};
  if (End != nullptr)
    Line["end_us"] = microsOf(*End);
  Runs_ << Line.dump() << "\n" << std::flush;
}

void UpstreamStandin::setMode(const HttpRequest &Request,
                              HttpExchange &Exchange) {
  const Json Mode = Json::parse(Request.Body_.text(), nullptr, false);
  HttpResponse Response;
  if (!Mode.is_object()) {
    Response.Status_ = 400;
    Exchange.respond(std::move(Response));
    return;
  }
  if (Mode.contains("daemon"))
    startHeartbeats(Mode.at("own").get<std::string>(),
                    Mode.at("daemon").get<std::string>());
  Draining_ = Mode.value("draining", Draining_);
  StatedLimit_ = Mode.value("stated_limit", StatedLimit_);
  CrashOn_ = Mode.value("crash_on", CrashOn_);
  LeavingStated_ = Mode.value("leaving_stated", LeavingStated_);
  FailsOnce_ = Mode.value("fails_once", FailsOnce_);
  FailsAtOnce_ = Mode.value("fails_at_once", FailsAtOnce_);
  if (Mode.contains("cold_ms"))
    ColdUntil_ =
        Time_.now() + std::chrono::milliseconds(Mode.at("cold_ms").get<int>());
  Options_.ServiceTime_ = std::chrono::microseconds(
      Mode.value("service_us", Options_.ServiceTime_.count()));
  Exchange.respond(std::move(Response));
}

} // namespace lagoonhitch

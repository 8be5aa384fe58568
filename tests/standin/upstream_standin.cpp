#include "tests/standin/upstream_standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds AnnounceEvery{300};

std::int64_t numberOf(const HttpRequest &Request, const char *Name) {
  const std::string *Text = findHeader(Request.Headers_, Name);
  std::int64_t Value = 0;
  if (Text != nullptr)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

std::string textOf(const HttpRequest &Request, const char *Name) {
  const std::string *Text = findHeader(Request.Headers_, Name);
  return Text == nullptr ? std::string() : *Text;
}

HttpResponse refusal(unsigned Status) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"Lagoonhitch-Run", "no"});
  return Response;
}

std::int64_t microsOf(Instant At) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             At.time_since_epoch())
      .count();
}

} // namespace

UpstreamStandin::UpstreamStandin(IoLoop &Loop, const Clock &Time,
                                 HttpClient &Client,
                                 UpstreamStandinOptions Options)
    : Loop_(Loop), Time_(Time), Client_(Client), Options_(std::move(Options)) {
  if (!Options_.Runs_.empty())
    Runs_.open(Options_.Runs_, std::ios::app);
}

void UpstreamStandin::announceForever(const std::string &Address) {
  const Json Body = {{"service", Options_.Service_},
                     {"instance", Options_.Instance_},
                     {"address", Address},
                     {"slots", Options_.Slots_},
                     {"connections", Options_.Connections_},
                     {"checks_tokens", Options_.ChecksTokens_},
                     {"draining", Draining_}};
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/announce";
  Request.Body_ = Body.dump();
  Client_.send(Options_.Admin_, std::move(Request), HttpCallOptions(),
               [](const HttpResult &) {});
  AnnounceTimer_ =
      Loop_.after(AnnounceEvery, [this, Address] { announceForever(Address); });
}

void UpstreamStandin::handle(const HttpRequest &Request,
                             const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target_ == "/_mode") {
    setMode(Request, *Exchange);
    return;
  }
  if (isStale(Request)) {
    Exchange->respond(refusal(409));
    return;
  }
  const std::uint32_t Bears = ColdSlots_ > 0 ? ColdSlots_ : Options_.Slots_;
  if (InFlight_ >= Bears) {
    Exchange->respond(refusal(503));
    return;
  }
  run(Request, Exchange);
}

bool UpstreamStandin::isStale(const HttpRequest &Request) {
  const std::int64_t NotAfter = numberOf(Request, "Lagoonhitch-Not-After");
  const std::int64_t Now = toMillis(Time_.now().time_since_epoch()).count();
  if (NotAfter > 0 && Now > NotAfter)
    return true;
  if (!Options_.ChecksTokens_)
    return false;
  const std::uint64_t Given =
      static_cast<std::uint64_t>(numberOf(Request, "Lagoonhitch-Token"));
  std::uint64_t &Highest = HighestToken_[Request.Target_];
  if (Given < Highest)
    return true;
  Highest = Given;
  return false;
}

void UpstreamStandin::run(const HttpRequest &Request,
                          const std::shared_ptr<HttpExchange> &Exchange) {
  ++InFlight_;
  const Instant Begin = Time_.now();
  record(Request, Begin, nullptr);
  const std::shared_ptr<std::shared_ptr<void>> Timer =
      std::make_shared<std::shared_ptr<void>>();
  *Timer = Loop_.after(Options_.ServiceTime_,
                       [this, Request, Exchange, Begin, Timer] {
                         finish(Request, *Exchange, Begin);
                         Timer->reset();
                       });
}

Instant UpstreamStandin::deadlineOf(const HttpRequest &Request,
                                    Instant Begin) const {
  const std::int64_t Millis = numberOf(Request, "Lagoonhitch-Deadline-Ms");
  return Millis == 0 ? Instant::max()
                     : Begin + std::chrono::milliseconds(Millis);
}

/// A run that is found past its deadline, as after a freeze, has no effect
/// any more: it ended at the deadline.
void UpstreamStandin::finish(const HttpRequest &Request, HttpExchange &Exchange,
                             Instant Begin) {
  --InFlight_;
  const Instant Deadline = deadlineOf(Request, Begin);
  const Instant Now = Time_.now();
  const Instant End = std::min(Now, Deadline);
  record(Request, Begin, &End);
  HttpResponse Response;
  if (Now > Deadline) {
    Response.Status_ = 504;
    Exchange.respond(std::move(Response));
    return;
  }
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = Json({{"instance", Options_.Instance_},
                         {"target", Request.Target_},
                         {"token", textOf(Request, "Lagoonhitch-Token")},
                         {"echo", Request.Body_}})
                       .dump();
  Exchange.respond(std::move(Response));
}

void UpstreamStandin::record(const HttpRequest &Request, Instant Begin,
                             const Instant *End) {
  if (!Runs_.is_open())
    return;
  Json Line = {{"id", textOf(Request, "Lagoonhitch-Request-Id")},
               {"call", textOf(Request, "X-Call")},
               {"method", Request.Method_},
               {"target", Request.Target_},
               {"token", numberOf(Request, "Lagoonhitch-Token")},
               {"instance", Options_.Instance_},
               {"begin_us", microsOf(Begin)}};
  if (End != nullptr)
    Line["end_us"] = microsOf(*End);
  Runs_ << Line.dump() << "\n" << std::flush;
}

void UpstreamStandin::setMode(const HttpRequest &Request,
                              HttpExchange &Exchange) {
  const Json Mode = Json::parse(Request.Body_, nullptr, false);
  HttpResponse Response;
  if (!Mode.is_object()) {
    Response.Status_ = 400;
    Exchange.respond(std::move(Response));
    return;
  }
  ColdSlots_ = Mode.value("cold_slots", ColdSlots_);
  Draining_ = Mode.value("draining", Draining_);
  Options_.ServiceTime_ = std::chrono::microseconds(
      Mode.value("service_us", Options_.ServiceTime_.count()));
  Exchange.respond(std::move(Response));
}

} // namespace lagoonhitch

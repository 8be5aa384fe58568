#include "tests/standin/log_standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

constexpr std::size_t BatchRecords = 256;
constexpr std::size_t BatchBytes = 4 * 1024 * 1024;

std::uint64_t queryNumber(const std::string &Target, const std::string &Name) {
  const std::size_t At = Target.find(Name + "=");
  std::uint64_t Value = 0;
  if (At != std::string::npos)
    std::from_chars(Target.data() + At + Name.size() + 1,
                    Target.data() + Target.size(), Value);
  return Value;
}

HttpResponse jsonResponse(unsigned Status, const Json &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Body_ = Body.dump();
  return Response;
}

} // namespace

LogStandin::LogStandin(IoLoop &Loop) : Loop_(Loop) {}

void LogStandin::handle(const HttpRequest &Request,
                        const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target_ == "/mode") {
    setMode(Request, *Exchange);
    return;
  }
  if (Slow_.count() == 0) {
    dispatch(Request, Exchange);
    return;
  }
  const std::shared_ptr<std::shared_ptr<void>> Timer =
      std::make_shared<std::shared_ptr<void>>();
  *Timer = Loop_.after(Slow_, [this, Request, Exchange, Timer] {
    dispatch(Request, Exchange);
    Timer->reset();
  });
}

void LogStandin::dispatch(const HttpRequest &Request,
                          const std::shared_ptr<HttpExchange> &Exchange) {
  if (Down_) {
    Exchange->respond(jsonResponse(503, {{"error", "down"}}));
    return;
  }
  const std::string Prefix = "/streams/";
  const std::size_t End = Request.Target_.find("/records");
  if (!Request.Target_.starts_with(Prefix) || End == std::string::npos) {
    Exchange->respond(jsonResponse(404, {{"error", "no such path"}}));
    return;
  }
  Stream &Target =
      Streams_[Request.Target_.substr(Prefix.size(), End - Prefix.size())];
  if (Request.Method_ == "POST")
    append(Target, Request, *Exchange);
  else
    read(Target, Request, Exchange);
}

void LogStandin::append(Stream &Target, const HttpRequest &Request,
                        HttpExchange &Exchange) {
  const Offset At = Target.First_ + Target.Records_.size();
  Target.Records_.push_back(Request.Body_);
  while (Target.Records_.size() > Keep_) {
    Target.Records_.pop_front();
    ++Target.First_;
  }
  wake(Target);
  if (LoseAnswers_ > 0) {
    --LoseAnswers_;
    Exchange.respond(jsonResponse(503, {{"error", "answer lost"}}));
    return;
  }
  Exchange.respond(jsonResponse(200, {{"offset", At}}));
}

void LogStandin::read(Stream &Source, const HttpRequest &Request,
                      const std::shared_ptr<HttpExchange> &Exchange) {
  const Offset From = queryNumber(Request.Target_, "from");
  const std::chrono::milliseconds Wait(queryNumber(Request.Target_, "wait_ms"));
  if (From < Source.First_ + Source.Records_.size() || Wait.count() == 0) {
    Exchange->respond(batch(Source, From));
    return;
  }
  const std::shared_ptr<Waiter> Waiting = std::make_shared<Waiter>();
  Waiting->From_ = From;
  Waiting->Exchange_ = Exchange;
  Waiting->Timer_ =
      Loop_.after(Wait, [&Source, Weak = std::weak_ptr<Waiter>(Waiting)] {
        const std::shared_ptr<Waiter> Alive = Weak.lock();
        if (!Alive)
          return;
        Alive->Exchange_->respond(batch(Source, Alive->From_));
        std::erase(Source.Waiters_, Alive);
      });
  Source.Waiters_.push_back(Waiting);
}

void LogStandin::wake(Stream &Source) {
  std::deque<std::shared_ptr<Waiter>> Waiters = std::move(Source.Waiters_);
  Source.Waiters_.clear();
  for (const std::shared_ptr<Waiter> &Waiting : Waiters) {
    Waiting->Timer_.reset();
    Waiting->Exchange_->respond(batch(Source, Waiting->From_));
  }
}

HttpResponse LogStandin::batch(const Stream &Source, Offset From) {
  const Offset End = Source.First_ + Source.Records_.size();
  Json Records = Json::array();
  std::size_t Bytes = 0;
  for (Offset At = std::max(From, Source.First_);
       At < End && Records.size() < BatchRecords && Bytes < BatchBytes; ++At) {
    const std::string &Data = Source.Records_[At - Source.First_];
    Bytes += Data.size();
    Records.push_back({{"offset", At}, {"data", Data}});
  }
  return jsonResponse(200, {{"first", Source.First_},
                            {"end", End},
                            {"records", std::move(Records)}});
}

void LogStandin::setMode(const HttpRequest &Request, HttpExchange &Exchange) {
  const Json Mode = Json::parse(Request.Body_, nullptr, false);
  if (!Mode.is_object()) {
    Exchange.respond(jsonResponse(400, {{"error", "not an object"}}));
    return;
  }
  Down_ = Mode.value("down", Down_);
  Slow_ = std::chrono::milliseconds(Mode.value("slow_ms", Slow_.count()));
  LoseAnswers_ = Mode.value("lose_answers", LoseAnswers_);
  Keep_ = Mode.value("keep", Keep_);
  Exchange.respond(jsonResponse(200, {{"down", Down_}}));
}

} // namespace lagoonhitch

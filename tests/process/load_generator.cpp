#include "tests/process/load_generator.h"

#include "net/http_client.h"
#include "net/io_loop.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds CallTimeout{10};

struct RequestKind {
  const char *Method_;
  const char *Prefix_;
  const char *Suffix_;
};

constexpr RequestKind RequestKinds[] = {{"POST", "/katalog/k", "/orders"},
                                        {"GET", "/katalog/k", ""},
                                        {"POST", "/pruf/k", "/approvals"},
                                        {"GET", "/pruf/k", ""}};

/// Returns the outcome that the response reports; Unknown if it reports none.
Outcome parseOutcome(const HttpResult &Result) {
  if (Result.Status_ == HttpCallStatus::NotSent)
    return Outcome::NotRun;
  const std::string *Name =
      findHeader(Result.Response_.Headers_, "Lagoonhitch-Outcome");
  for (const Outcome Known : {Outcome::Ran, Outcome::NotRun})
    if (Name != nullptr && *Name == outcomeName(Known))
      return Known;
  return Outcome::Unknown;
}

} // namespace

LoadGenerator::LoadGenerator(const Clock &Time, LoadGeneratorOptions Options)
    : Time_(Time), Options_(std::move(Options)),
      Loop_(std::make_unique<IoLoop>()),
      Client_(std::make_unique<HttpClient>(*Loop_, Time, HttpClientOptions())),
      Timers_(Options_.Workers_), NextCall_(Options_.FirstCall_ - 1) {
  Loop_->post([this] {
    for (std::uint32_t Worker = 0; Worker < Options_.Workers_; ++Worker)
      send(Worker);
  });
  Thread_ = std::thread([this] { Loop_->run(); });
}

LoadGenerator::~LoadGenerator() {
  if (Thread_.joinable())
    finish();
}

void LoadGenerator::finish() {
  Stopping_ = true;
  Thread_.join();
}

void LoadGenerator::scheduleNext(std::uint32_t Worker) {
  if (Stopping_) {
    if (InFlight_ == 0)
      Loop_->stop();
    return;
  }
  Timers_[Worker] =
      Loop_->after(Options_.ThinkTime_, [this, Worker] { send(Worker); });
}

void LoadGenerator::send(std::uint32_t Worker) {
  const std::uint64_t Number = ++NextCall_;
  const RequestKind &Chosen = RequestKinds[Number % std::size(RequestKinds)];
  // Multiplying by a prime spreads consecutive calls over the keys.
  const std::string Key = std::to_string((Number * 7919) % Options_.KeyCount_);
  HttpRequest Request;
  Request.Method_ = Chosen.Method_;
  Request.Target_ = Chosen.Prefix_ + Key + Chosen.Suffix_;
  const std::string CallName = Request.Method_ + " " + std::to_string(Number);
  Request.Headers_.push_back({"X-Call", CallName});
  std::string Body = Request.Method_ == "POST" ? "body " + CallName : "";
  if (Body.size() < Options_.MinBodyBytes_)
    Body.resize(Options_.MinBodyBytes_, 'x');
  Request.Body_ = std::move(Body);
  Call Entry;
  Entry.SentAt_ = Time_.now();
  Entry.Target_ = Request.Target_;
  History::CallAnswer Answered;
  Answered.Call_ = CallName;
  Answered.Expected_ = Request.Target_ + Request.Body_.text();
  HttpCallOptions Options;
  Options.Timeout_ = CallTimeout;
  Options.MaxIdleTime_ = Options_.MaxIdleTime_;
  ++InFlight_;
  const std::string &Address =
      Options_.Addresses_[Number % Options_.Addresses_.size()];
  Entry.Address_ = Address;
  Client_->send(
      Address, std::move(Request), Options,
      [this, Worker, Entry, Answered](const HttpResult &Result) mutable {
        --InFlight_;
        Entry.AnsweredAt_ = Time_.now();
        if (Result.Status_ == HttpCallStatus::Completed)
          Entry.Status_ = Result.Response_.Status_;
        Entry.NotSent_ = Result.Status_ == HttpCallStatus::NotSent;
        Entry.Outcome_ = parseOutcome(Result);
        Answered.Outcome_ = Entry.Outcome_;
        const Json Body = Json::parse(Result.Response_.Body_, nullptr, false);
        if (Body.is_object() && Body.contains("echo")) {
          Answered.Body_ = Body.value("target", "") + Body.value("echo", "");
          Entry.Instance_ = Body.value("instance", "");
        }
        Calls_.push_back(std::move(Entry));
        Answers_.push_back(std::move(Answered));
        scheduleNext(Worker);
      });
}

} // namespace lagoonhitch

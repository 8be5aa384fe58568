#include "tests/unit/upstream_calls.h"

#include "platform/platform_headers.h"

#include <memory>
#include <optional>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr const char *Service = "katalog";
constexpr std::uint32_t Slots = 4;
constexpr std::chrono::milliseconds TickInterval{10};

KeyHooks servesAllKeys() {
  return {[](KeyId) { return true; }, [](KeyId) { return true; }, [](KeyId) {}};
}

GatewayCallbacks noCallbacks() {
  return {[] {}, [](const GatewayRequest &) { return std::nullopt; },
          [](const StatedRateLimit &) {}, [] {}, [] {}};
}

HttpRequest makeRequest(const std::string &Id) {
  HttpRequest Request;
  if (!Id.empty())
    Request.Headers_.push_back({platformHeaders().RequestId_, Id});
  return Request;
}

} // namespace

UpstreamCalls::UpstreamCalls(std::string Address)
    : Address_(std::move(Address)), Client_(Loop_, Time_, HttpClientOptions()),
      Gateway_(Loop_, Time_, Client_, platformHeaders(), Service, Address_,
               servesAllKeys(), noCallbacks()) {
  Gateway_.resetForIncarnation("katalog-1", Slots);
  Gateway_.setAccepting(true);
}

HttpResult UpstreamCalls::send(const std::string &Id, const std::string &Method,
                               std::chrono::milliseconds Timeout) {
  HttpRequest Request = makeRequest(Id);
  Request.Method_ = Method;
  HttpCallOptions Call;
  Call.Timeout_ = Timeout;
  Call.EchoHeader_ = platformHeaders().RequestId_;
  Call.NotRunHeader_ = platformHeaders().NotRun_;
  HttpResult Received;
  Client_.send(Address_, std::move(Request), Call,
               [this, &Received](HttpResult Result) {
                 Received = std::move(Result);
                 Loop_.stop();
               });
  Loop_.restart();
  Loop_.run();
  return Received;
}

GatewayResult UpstreamCalls::serve(const std::string &Id,
                                   std::uint32_t Attempt) {
  constexpr std::chrono::seconds Timeout{5};
  GatewayRequest Request;
  Request.Id_ = {1, 1, Attempt};
  Request.Service_ = Service;
  Request.Deadline_ = Time_.now() + Timeout;
  Request.ObjectiveAt_ = Request.Deadline_;
  Request.Objective_ = Timeout;
  Request.HttpRequest_ = makeRequest(Id);
  std::optional<GatewayResult> Received;
  Gateway_.serve(std::move(Request), [this, &Received](GatewayResult Result) {
    Received = std::move(Result);
    Loop_.stop();
  });
  while (!Received) {
    const std::shared_ptr<void> End =
        Loop_.after(TickInterval, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
    Gateway_.tick();
  }
  return *Received;
}

std::size_t UpstreamCalls::openConnections() const {
  return Client_.openConnections(Address_);
}

void UpstreamCalls::setMaxConnections(std::size_t Limit) {
  Client_.setMaxConnections(Address_, Limit);
}

} // namespace lagoonhitch

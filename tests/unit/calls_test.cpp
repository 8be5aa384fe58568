/// \file
/// Tests how requests that running requests send, their calls, are recognised.

#define BOOST_TEST_MODULE calls
#include "daemon/caller_interface.h"
#include "daemon/request_router.h"
#include "daemon/upstream_gateway.h"
#include "limits/parent_runs.h"
#include "net/http_client.h"
#include "net/http_exchange.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "observe/metrics.h"
#include "platform/monotonic_clock.h"
#include "platform/platform_headers.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr const char *Service = "s";
constexpr const char *Host = "h1";
constexpr std::uint32_t OwnRank = 2;

/// Routes all requests to one service, as the platform's manifest would.
class FixedInterface : public CallerInterface {
public:
  RoutedRequest route(const HttpRequest &Request,
                      std::uint64_t) const override {
    RoutedRequest Routed;
    Routed.Kind_ = RoutedRequest::Kind::Found;
    Routed.Service_ = Service_;
    Routed.Idempotent_ = true;
    Routed.Rank_ = Request.Target_ == "/urgent" ? 0 : OwnRank;
    Routed.Timeout_ = milliseconds(4000);
    Routed.Objective_ = milliseconds(1000);
    Routed.CallerRequestId_ =
        *findHeader(Request.Headers_, platformHeaders().RequestId_);
    Routed.ParentRequestId_ = parentRequestId(Routed.CallerRequestId_);
    return Routed;
  }
  void addResponseHeaders(HttpResponse &, const RoutedRequest &,
                          Outcome) const override {}

  std::string Service_ = Service;
};

/// An exchange that keeps the response.
class RecordedExchange : public HttpExchange {
public:
  void respond(HttpResponse Response) override {
    Response_ = std::move(Response);
  }
  void onAbandoned(AbandonCallback Callback) override {
    OnAbandoned_ = std::move(Callback);
  }

  AbandonCallback OnAbandoned_;
  std::optional<HttpResponse> Response_;
};

/// A daemon with one upstream, which responds when the test tells it to. Its
/// fleet has the own host only.
struct CallsFixture {
  CallsFixture()
      : Upstream_(Loop_, serverOptions(),
                  [this](const HttpRequest &Request,
                         const std::shared_ptr<HttpExchange> &Exchange) {
                    const std::string *Id = findHeader(
                        Request.Headers_, platformHeaders().RequestId_);
                    Started_.push_back(*Id);
                    Running_[*Id] = Exchange;
                  }),
        Client_(Loop_, Time_, HttpClientOptions()),
        Gateway_(Loop_, Time_, Client_, platformHeaders(), Service,
                 Upstream_.address(), KeyHooks(),
                 {[] {},
                  [](const GatewayRequest &) { return std::nullopt; },
                  [](const StatedRateLimit &) {},
                  [] {},
                  [] {},
                  {},
                  [this](const std::string &Request, unsigned) {
                    LostRuns_.push_back(Request);
                  }}),
        Router_(Loop_, Time_, Site_, Client_, Gateway_, Metrics_,
                platformHeaders(), SharedRetryBudgetOptions(),
                {Host, "z", Service, 7},
                [this](EventId Event, const std::string &Request,
                       const std::string &, const std::string &Parent) {
                  if (Event == EventId::RequestRefused)
                    Refused_.emplace_back(Request, Parent);
                }) {
    MemberRecord Record;
    Record.Host_ = Host;
    Record.Zone_ = "z";
    Record.Service_ = Service;
    Record.State_ = UpstreamState::Ready;
    applyRecord(Site_.Fleet_, Record, Time_.now());
    LoadDigest Digest;
    Digest.Host_ = Host;
    Digest.Process_ = 7;
    Digest.Sequence_ = 1;
    Digest.Accepting_ = true;
    applyDigest(Site_.Fleet_, Digest, Time_.now());
    Gateway_.resetForIncarnation("u", 2);
    Gateway_.setAccepting(true);
  }

  static HttpServerOptions serverOptions() {
    HttpServerOptions Options;
    Options.Address_ = "127.0.0.1:0";
    return Options;
  }

  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_.after(Span, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
  }

  /// Sends a request to the daemon as a caller.
  std::shared_ptr<RecordedExchange> call(const std::string &Id,
                                         const std::string &Target = "/") {
    HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = Target;
    Request.Headers_.push_back({platformHeaders().RequestId_, Id});
    std::shared_ptr<RecordedExchange> Exchange =
        std::make_shared<RecordedExchange>();
    Router_.handle(std::move(Request), Exchange, Interface_);
    runFor(milliseconds(30));
    return Exchange;
  }

  /// Lets the upstream respond to a running request.
  void finish(const std::string &Id, unsigned Status = 200) {
    HttpResponse Response;
    Response.Status_ = Status;
    Response.Headers_.push_back({platformHeaders().RequestId_, Id});
    Response.Headers_.push_back({platformHeaders().Signature_, "s"});
    Running_.at(Id)->respond(Response);
    Running_.erase(Id);
    runFor(milliseconds(30));
  }

  /// Returns the waiting requests of the gateway, in their order.
  std::vector<QueuedRequest> waiting() const {
    std::vector<QueuedRequest> Requests;
    for (const auto &[Order, Request] : Gateway_.queue().Waiting_)
      Requests.push_back(Request);
    return Requests;
  }

  MonotonicClock Time_;
  IoLoop Loop_;
  FixedInterface Interface_;
  std::vector<std::string> Started_;
  std::map<std::string, std::shared_ptr<HttpExchange>> Running_;
  std::vector<std::string> LostRuns_;
  /// The IDs of rejected requests and of their parents, as logged.
  std::vector<std::pair<std::string, std::string>> Refused_;
  SiteState Site_;
  Metrics Metrics_;
  HttpServer Upstream_;
  HttpClient Client_;
  UpstreamGateway Gateway_;
  RequestRouter Router_;
};

} // namespace

BOOST_AUTO_TEST_CASE(IdOfACallNamesItsParent) {
  BOOST_TEST(parentRequestId("a.1") == "a");
  BOOST_TEST(parentRequestId("a.1.2") == "a.1");
  for (const char *Id : {"", "a", ".", ".1", "a.", ".."})
    BOOST_TEST(parentRequestId(Id).empty());
}

/// A service that calls itself without end would precede all other requests at
/// any depth.
BOOST_AUTO_TEST_CASE(DeeplyNestedCallsAreOrdinaryRequests) {
  std::string Id = "a";
  int Depth = 0;
  while (Depth < 100) {
    Id += ".1";
    if (parentRequestId(Id).empty())
      break;
    ++Depth;
  }
  BOOST_TEST(Depth == 8);
  BOOST_TEST(parentRequestId(std::string(100000, '.')).empty());
}

/// Anyone may send a request whose ID has the format of a call.
BOOST_AUTO_TEST_CASE(ForgedParentIsNotFound) {
  ParentRuns State;
  BOOST_TEST(!beginCall(State, "a").has_value());
  BOOST_TEST(!beginCall(State, "").has_value());
  beginRun(State, "", 0);
  BOOST_TEST(!beginCall(State, "").has_value());
  beginRun(State, "a", 1);
  BOOST_TEST(!beginCall(State, "a.").has_value());
  BOOST_TEST((beginCall(State, "a") == std::optional<std::uint32_t>(1)));
}

/// A request that has ended waits for no call any more.
BOOST_AUTO_TEST_CASE(ParentThatIsGoneIsNotFound) {
  ParentRuns State;
  beginRun(State, "a", 1);
  BOOST_TEST(beginCall(State, "a").has_value());
  BOOST_TEST(!endRun(State, "a"));
  BOOST_TEST(!beginCall(State, "a").has_value());
  BOOST_TEST(State.ById_.size() == 1U);
  endCall(State, "a", true);
  BOOST_TEST(State.ById_.empty());
  endCall(State, "a", true);
  BOOST_TEST(!endRun(State, "a"));
  BOOST_TEST(State.ById_.empty());
}

/// One request may not fill the queues of a service with calls.
BOOST_AUTO_TEST_CASE(OpenCallsOfAParentAreLimited) {
  ParentRuns State;
  beginRun(State, "a", 1);
  for (std::uint32_t Call = 0; Call < State.Options_.MaxOpenCalls_; ++Call)
    BOOST_TEST(beginCall(State, "a").has_value());
  BOOST_TEST(!beginCall(State, "a").has_value());
  endCall(State, "a", false);
  BOOST_TEST(beginCall(State, "a").has_value());
}

/// The run may fail because of the call, so it is reported with it.
BOOST_AUTO_TEST_CASE(RunKnowsThatACallWasRejected) {
  ParentRuns State;
  beginRun(State, "a", 1);
  beginCall(State, "a");
  endCall(State, "a", true);
  BOOST_TEST(endRun(State, "a"));
  beginRun(State, "a", 1);
  beginCall(State, "a");
  endCall(State, "a", false);
  BOOST_TEST(!endRun(State, "a"));
}

BOOST_AUTO_TEST_CASE(MostUrgentRunWithAnIdCounts) {
  ParentRuns State;
  beginRun(State, "a", 2);
  beginRun(State, "a", 0);
  beginRun(State, "a", 1);
  endRun(State, "a");
  BOOST_TEST((beginCall(State, "a") == std::optional<std::uint32_t>(0)));
  endRun(State, "a");
  endRun(State, "a");
  BOOST_TEST(!beginCall(State, "a").has_value());
}

/// The gateway knows a parent from the time at which it is sent to the upstream
/// until its response.
BOOST_AUTO_TEST_CASE(OnlyRequestsThatRunAreParents) {
  CallsFixture Fixture;
  for (const char *Id : {"a", "b", "c"})
    Fixture.call(Id);
  BOOST_TEST(Fixture.Gateway_.beginCall("a").has_value());
  BOOST_TEST(!Fixture.Gateway_.beginCall("c").has_value());
  Fixture.finish("a");
  BOOST_TEST(!Fixture.Gateway_.beginCall("a").has_value());
  BOOST_TEST(Fixture.Gateway_.beginCall("c").has_value());
}

/// A call of an urgent request would wait behind requests that are less urgent.
BOOST_AUTO_TEST_CASE(CallTakesTheRankOfItsParent) {
  CallsFixture Fixture;
  Fixture.call("a", "/urgent");
  Fixture.call("b");
  Fixture.call("a.1");
  Fixture.call("b.1", "/urgent");
  Fixture.call("a.1.1");
  const std::vector<QueuedRequest> Waiting = Fixture.waiting();
  BOOST_REQUIRE(Waiting.size() == 3U);
  BOOST_TEST(Waiting[0].Rank_ == 0U);
  BOOST_TEST(Waiting[1].Rank_ == 0U);
  // The parent a.1 only waits, so a.1.1 is an ordinary request.
  BOOST_TEST(Waiting[2].Rank_ == OwnRank);
}

/// Without an end of its calls, a parent would soon have too many open ones.
BOOST_AUTO_TEST_CASE(EndedCallsAreNotOpen) {
  CallsFixture Fixture;
  const std::uint32_t Calls = ParentRunsOptions().MaxOpenCalls_ * 2;
  Fixture.call("a", "/urgent");
  for (std::uint32_t Call = 0; Call < Calls; ++Call) {
    const std::string Id = "a." + std::to_string(Call);
    const std::shared_ptr<RecordedExchange> Exchange = Fixture.call(Id);
    if (Call % 2 == 0)
      Fixture.finish(Id);
    else
      Exchange->OnAbandoned_(ConnectionEnd::Closed);
  }
  for (std::uint32_t Call = 0; Call < ParentRunsOptions().MaxOpenCalls_; ++Call)
    BOOST_TEST(Fixture.Gateway_.beginCall("a").has_value());
}

/// From a request that ended as 500, an operator must find the call that was
/// rejected.
BOOST_AUTO_TEST_CASE(RunLostByARejectedCallIsReported) {
  for (const unsigned Status : {200U, 500U}) {
    CallsFixture Fixture;
    Fixture.call("a");
    Fixture.Gateway_.setAccepting(false);
    Fixture.call("a.1");
    Fixture.call("b.1");
    BOOST_REQUIRE(Fixture.Refused_.size() == 2U);
    BOOST_TEST(Fixture.Refused_[0].first == "a.1");
    BOOST_TEST(Fixture.Refused_[0].second == "a");
    // The parent b does not run here, so b.1 is no call.
    BOOST_TEST(Fixture.Refused_[1].second.empty());
    Fixture.finish("a", Status);
    BOOST_TEST(Fixture.LostRuns_.size() == (Status == 500 ? 1U : 0U));
    const std::string Text = Fixture.Metrics_.text();
    const std::string Calls = "lagoonhitch_calls_total{outcome=\"not-run\","
                              "service=\"s\"} 1";
    BOOST_TEST((Text.find(Calls) != std::string::npos), Text);
  }
}

/// The failure has another cause.
BOOST_AUTO_TEST_CASE(FailureWithoutARejectedCallIsNoLostRun) {
  CallsFixture Fixture;
  Fixture.call("a");
  Fixture.call("a.1");
  Fixture.finish("a.1");
  Fixture.finish("a", 500);
  BOOST_TEST(Fixture.LostRuns_.empty());
}

/// Nothing is sent to a service of which all upstreams report to be full.
BOOST_AUTO_TEST_CASE(RequestToAFullServiceIsNotSent) {
  CallsFixture Fixture;
  MemberRecord Record;
  Record.Host_ = "h2";
  Record.Zone_ = "z";
  Record.Service_ = "t";
  Record.PeerAddress_ = "127.0.0.1:1";
  Record.State_ = UpstreamState::Ready;
  applyRecord(Fixture.Site_.Fleet_, Record, Fixture.Time_.now());
  LoadDigest Digest;
  Digest.Host_ = "h2";
  Digest.Process_ = 8;
  Digest.Sequence_ = 1;
  Digest.IntervalMillis_ = 1000;
  Digest.Accepting_ = true;
  Digest.Slots_ = 6;
  Digest.Running_ = 6;
  Digest.Queued_ = 100;
  Digest.ProcessingMillis_ = 100;
  Digest.Work_.WaitMillis_.fill(3500);
  applyDigest(Fixture.Site_.Fleet_, Digest, Fixture.Time_.now());
  Fixture.Interface_.Service_ = "t";
  std::size_t Sent = 0;
  constexpr std::size_t Requests = 100;
  for (std::size_t Number = 0; Number < Requests; ++Number) {
    HttpRequest Request;
    Request.Headers_.push_back(
        {platformHeaders().RequestId_, std::to_string(Number)});
    const std::shared_ptr<RecordedExchange> Exchange =
        std::make_shared<RecordedExchange>();
    Fixture.Router_.handle(std::move(Request), Exchange, Fixture.Interface_);
    if (!Exchange->Response_) {
      ++Sent;
      continue;
    }
    BOOST_TEST(Exchange->Response_->Status_ == 503U);
    BOOST_TEST(
        (findHeader(Exchange->Response_->Headers_, "Retry-After") != nullptr));
  }
  BOOST_TEST(Sent <= Requests / 10);
  Fixture.Router_.endOpenRequests();
}

} // namespace lagoonhitch

/// \file
/// Tests how a daemon answers status queries about attempts that were sent to
/// its gateway.

#define BOOST_TEST_MODULE peer_service
#include "daemon/forward_codec.h"
#include "daemon/peer_service.h"
#include "daemon/upstream_gateway.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "platform/monotonic_clock.h"
#include "platform/platform_headers.h"
#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr const char *Service = "s";
constexpr std::uint64_t Process = 2;
/// The process that ran before the daemon was restarted.
constexpr std::uint64_t EarlierProcess = 1;
const RequestId Attempt{7, 1, 1};

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

/// A peer service whose upstream responds when the test tells it to.
struct PeerServiceFixture {
  PeerServiceFixture()
      : Upstream_(Loop_, serverOptions(),
                  [this](const HttpRequest &,
                         const std::shared_ptr<HttpExchange> &Exchange) {
                    Running_.push_back(Exchange);
                  }),
        Client_(Loop_, Time_, HttpClientOptions()),
        Store_(
            Client_, Client_, "127.0.0.1:1", [] { return std::string(); },
            [](StoreEra, std::optional<StoreEra>) {}),
        Gateway_(Loop_, Time_, Client_, platformHeaders(), Service,
                 Upstream_.address(), KeyHooks(),
                 {[] {},
                  [this](const GatewayRequest &) { return QuarantineLeft_; },
                  [](const StatedRateLimit &) {}, [] {}, [] {}}),
        Peers_(Time_, Gateway_, Store_, Process,
               [this](const RequestId &) { return IsArriving_; }) {
    Gateway_.resetForIncarnation("u", 1);
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

  /// Forwards the attempt to the gateway and lets the upstream receive it.
  std::shared_ptr<RecordedExchange> forward(bool Idempotent,
                                            const RequestId &Id = Attempt) {
    GatewayRequest Request;
    Request.Id_ = Id;
    Request.Service_ = Service;
    Request.Idempotent_ = Idempotent;
    Request.Objective_ = milliseconds(1000);
    Request.ObjectiveAt_ = Time_.now() + Request.Objective_;
    Request.Deadline_ = Time_.now() + milliseconds(4000);
    Request.HttpRequest_.Method_ = "POST";
    Request.HttpRequest_.Target_ = "/";
    std::shared_ptr<RecordedExchange> Exchange =
        std::make_shared<RecordedExchange>();
    Peers_.handle(encodeForwardedRequest(Request, Time_.now()), Exchange);
    runFor(milliseconds(50));
    return Exchange;
  }

  /// Passes an attempt to the gateway as the router of this daemon does, and
  /// lets the upstream receive it.
  void serveLocally(const RequestId &Id, std::optional<Outcome> &Ended) {
    GatewayRequest Request;
    Request.Id_ = Id;
    Request.Service_ = Service;
    Request.Idempotent_ = true;
    Request.Objective_ = milliseconds(1000);
    Request.ObjectiveAt_ = Time_.now() + Request.Objective_;
    Request.Deadline_ = Time_.now() + milliseconds(4000);
    Request.HttpRequest_.Method_ = "POST";
    Request.HttpRequest_.Target_ = "/";
    Gateway_.serve(std::move(Request), [&Ended](const GatewayResult &Result) {
      Ended = Result.Outcome_;
    });
    runFor(milliseconds(50));
  }

  void finishRun(std::string Body = "done") {
    HttpResponse Response;
    Response.Headers_.push_back({platformHeaders().Signature_, "s"});
    Response.Body_ = std::move(Body);
    Running_.back()->respond(Response);
    runFor(milliseconds(50));
  }

  /// Queries the status of the attempt, which was sent to the named process as
  /// far as the entry daemon knows.
  AttemptStatusReply queryStatus(std::uint64_t NamedProcess) {
    return send(encodeStatusQuery(query(NamedProcess)));
  }

  void cancel() { send(encodeCancellation(query(Process))); }

  static AttemptStatusQuery query(std::uint64_t NamedProcess) {
    AttemptStatusQuery Query;
    Query.Id_ = Attempt;
    Query.Process_ = NamedProcess;
    Query.StartWithin_ = milliseconds(3500);
    return Query;
  }

  AttemptStatusReply send(HttpRequest Message) {
    const std::shared_ptr<RecordedExchange> Exchange =
        std::make_shared<RecordedExchange>();
    Peers_.handle(std::move(Message), Exchange);
    BOOST_REQUIRE(Exchange->Response_.has_value());
    return decodeStatusReply(*Exchange->Response_);
  }

  MonotonicClock Time_;
  IoLoop Loop_;
  std::vector<std::shared_ptr<HttpExchange>> Running_;
  /// How long all requests are quarantined.
  std::optional<Duration> QuarantineLeft_;
  /// Whether requests that were not received yet are being received.
  bool IsArriving_ = false;
  HttpServer Upstream_;
  HttpClient Client_;
  StoreClient Store_;
  UpstreamGateway Gateway_;
  PeerService Peers_;
};

} // namespace

/// The entry daemon may not know yet that the daemon was restarted before the
/// attempt was sent.
BOOST_AUTO_TEST_CASE(ReportsRunningAttemptsWhateverProcessIsNamed) {
  for (const bool Idempotent : {false, true}) {
    PeerServiceFixture Fixture;
    Fixture.forward(Idempotent);
    BOOST_REQUIRE(Fixture.Running_.size() == 1U);
    for (const std::uint64_t Named : {Process, EarlierProcess})
      BOOST_TEST((Fixture.queryStatus(Named).Kind_ ==
                  AttemptStatusReply::Kind::Running));
  }
}

BOOST_AUTO_TEST_CASE(ReturnsRecordedAnswersWhateverProcessIsNamed) {
  PeerServiceFixture Fixture;
  Fixture.forward(false);
  BOOST_REQUIRE(Fixture.Running_.size() == 1U);
  Fixture.finishRun();
  for (const std::uint64_t Named : {Process, EarlierProcess}) {
    const AttemptStatusReply Reply = Fixture.queryStatus(Named);
    BOOST_TEST((Reply.Kind_ == AttemptStatusReply::Kind::Ended));
    BOOST_TEST((Reply.Result_.Outcome_ == Outcome::Ran));
    BOOST_TEST(Reply.Result_.Response_.Body_ == "done");
  }
}

/// An attempt that was sent to the earlier process may have run there, and one
/// that is on its way to this process may still run here.
BOOST_AUTO_TEST_CASE(PromisesNothingAboutAttemptsSentToAnEarlierProcess) {
  PeerServiceFixture Fixture;
  for (int Query = 0; Query < 2; ++Query)
    BOOST_TEST((Fixture.queryStatus(EarlierProcess).Kind_ ==
                AttemptStatusReply::Kind::Unknown));
  Fixture.forward(false);
  BOOST_TEST(Fixture.Running_.size() == 1U);
}

/// The body of a request takes long, because this host reads slowly or the link
/// is narrow. The request was rejected for good and sent again and again.
BOOST_AUTO_TEST_CASE(AttemptThatIsBeingReceivedIsNotRejected) {
  PeerServiceFixture Fixture;
  Fixture.IsArriving_ = true;
  for (const std::uint64_t Named : {Process, EarlierProcess})
    BOOST_TEST((Fixture.queryStatus(Named).Kind_ ==
                AttemptStatusReply::Kind::Running));
  Fixture.forward(false);
  BOOST_TEST(Fixture.Running_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RejectsAttemptsThatItHasNotReceived) {
  PeerServiceFixture Fixture;
  const AttemptStatusReply Reply = Fixture.queryStatus(Process);
  BOOST_TEST((Reply.Kind_ == AttemptStatusReply::Kind::Ended));
  BOOST_TEST((Reply.Result_.Outcome_ == Outcome::NotRun));
  const std::shared_ptr<RecordedExchange> Exchange = Fixture.forward(false);
  BOOST_TEST(Fixture.Running_.empty());
  BOOST_REQUIRE(Exchange->Response_.has_value());
  BOOST_TEST(
      (decodeGatewayResult(*Exchange->Response_).Outcome_ == Outcome::NotRun));
}

/// The response to a rejected attempt is late, and its status is queried.
BOOST_AUTO_TEST_CASE(RejectionLosesItsReasonWhenItIsLookedUp) {
  for (const bool Idempotent : {false, true}) {
    PeerServiceFixture Fixture;
    Fixture.QuarantineLeft_ = std::chrono::minutes(10);
    Fixture.forward(Idempotent);
    const GatewayResult Result = Fixture.queryStatus(Process).Result_;
    BOOST_TEST((Result.Outcome_ == Outcome::NotRun));
    BOOST_TEST((Result.RejectReason_ == RejectReason::Quarantined));
    BOOST_TEST((Result.RetryAfter_ == std::chrono::minutes(10)));
  }
}

/// Another attempt would be sent without a retry from the budget.
BOOST_AUTO_TEST_CASE(RejectionByTheUpstreamSeemsTheGatewaysWhenLookedUp) {
  PeerServiceFixture Fixture;
  Fixture.forward(true);
  BOOST_REQUIRE(Fixture.Running_.size() == 1U);
  HttpResponse Response;
  Response.Status_ = 503;
  Response.Headers_.push_back({platformHeaders().NotRun_, "1"});
  Fixture.Running_.back()->respond(Response);
  Fixture.runFor(milliseconds(50));
  const GatewayResult Result = Fixture.queryStatus(Process).Result_;
  BOOST_TEST((Result.Outcome_ == Outcome::NotRun));
  BOOST_TEST((Result.RejectReason_ == RejectReason::Overloaded));
  BOOST_TEST(Result.RejectedByUpstream_);
}

/// Its entry daemon still waits for it and can send another attempt.
BOOST_AUTO_TEST_CASE(QueuedAttemptIsRefusedWhenItsConnectionBreaks) {
  PeerServiceFixture Fixture;
  Fixture.forward(true, {7, 2, 1});
  Fixture.forward(true)->OnAbandoned_(ConnectionEnd::Broken);
  const GatewayResult Result = Fixture.queryStatus(Process).Result_;
  BOOST_TEST((Result.Outcome_ == Outcome::NotRun));
  BOOST_TEST((Result.RejectReason_ == RejectReason::AlreadyResolved));
}

BOOST_AUTO_TEST_CASE(RunIsCutWhileItsEntryDaemonAsksForIt) {
  PeerServiceFixture Fixture;
  Fixture.forward(true)->OnAbandoned_(ConnectionEnd::Broken);
  for (int Query = 0; Query < 8; ++Query) {
    Fixture.runFor(milliseconds(250));
    Fixture.Gateway_.tick();
    BOOST_TEST((Fixture.queryStatus(Process).Kind_ ==
                AttemptStatusReply::Kind::Running));
  }
}

BOOST_AUTO_TEST_CASE(RunGoesOnThoughItsEntryDaemonAsksNoMore) {
  PeerServiceFixture Fixture;
  Fixture.forward(true)->OnAbandoned_(ConnectionEnd::Broken);
  Fixture.runFor(milliseconds(1000));
  Fixture.Gateway_.tick();
  BOOST_TEST(Fixture.Gateway_.load().Running_ == 1U);
  Fixture.runFor(milliseconds(700));
  Fixture.Gateway_.tick();
  BOOST_TEST(Fixture.Gateway_.load().Running_ == 0U);
}

/// Without the attempt's connection, its entry daemon has no other way to end
/// it when the caller leaves (GONE).
BOOST_AUTO_TEST_CASE(RunGoesOnThoughItIsCancelled) {
  PeerServiceFixture Fixture;
  Fixture.forward(true)->OnAbandoned_(ConnectionEnd::Broken);
  BOOST_TEST(Fixture.Gateway_.load().Running_ == 1U);
  Fixture.cancel();
  BOOST_TEST(Fixture.Gateway_.load().Running_ == 0U);
}

/// The order to cancel an attempt may overtake it.
BOOST_AUTO_TEST_CASE(CancelledAttemptRunsWhenItArrivesLate) {
  PeerServiceFixture Fixture;
  Fixture.cancel();
  Fixture.forward(true);
  BOOST_TEST(Fixture.Running_.empty());
}

/// Its outcome must not be lost.
BOOST_AUTO_TEST_CASE(CancellationCutsARunThatIsNotIdempotent) {
  PeerServiceFixture Fixture;
  Fixture.forward(false);
  Fixture.cancel();
  BOOST_TEST(Fixture.Gateway_.load().Running_ == 1U);
}

/// The attempt's connection may be broken at its other end only. A stopping
/// daemon waits for its exchange.
BOOST_AUTO_TEST_CASE(CancelledAttemptLeavesItsExchangeOpen) {
  for (const bool Idempotent : {true, false}) {
    PeerServiceFixture Fixture;
    const std::shared_ptr<RecordedExchange> Exchange =
        Fixture.forward(Idempotent);
    Fixture.cancel();
    if (!Idempotent)
      Fixture.finishRun();
    BOOST_TEST(Exchange->Response_.has_value());
  }
}

/// Answers that were delivered reach the limit before the status query arrives.
BOOST_AUTO_TEST_CASE(AnswerThatWasNotDeliveredIsDroppedForOthers) {
  PeerServiceFixture Fixture;
  Fixture.forward(true)->OnAbandoned_(ConnectionEnd::Broken);
  Fixture.finishRun();
  for (std::uint64_t Sequence = 2; Sequence < 6; ++Sequence) {
    constexpr std::size_t Bytes = 400'000;
    Fixture.forward(true, {7, Sequence, 1});
    Fixture.finishRun(std::string(Bytes, 'a'));
  }
  const AttemptStatusReply Reply = Fixture.queryStatus(Process);
  BOOST_TEST((Reply.Kind_ == AttemptStatusReply::Kind::Ended));
  BOOST_TEST(Reply.Result_.Response_.Body_ == "done");
}

/// Nobody looks up attempts of the daemon's own callers, so their answers take
/// no room from those of other entry daemons.
BOOST_AUTO_TEST_CASE(AnswerIsNotDroppedForThoseOfLocalAttempts) {
  PeerServiceFixture Fixture;
  Fixture.forward(true);
  Fixture.finishRun();
  for (std::uint64_t Sequence = 1; Sequence < 5; ++Sequence) {
    constexpr std::size_t Bytes = 400'000;
    std::optional<Outcome> Ended;
    Fixture.serveLocally({Process, Sequence, 1}, Ended);
    Fixture.finishRun(std::string(Bytes, 'a'));
    BOOST_REQUIRE(Ended.has_value());
    BOOST_TEST((*Ended == Outcome::Ran));
  }
  const AttemptStatusReply Reply = Fixture.queryStatus(Process);
  BOOST_TEST((Reply.Kind_ == AttemptStatusReply::Kind::Ended));
  BOOST_TEST(Reply.Result_.Response_.Body_ == "done");
}

/// A request may wait in the queue while others of its kind crash upstreams.
BOOST_AUTO_TEST_CASE(RejectsQueuedRequestsThatAreQuarantinedMeanwhile) {
  PeerServiceFixture Fixture;
  Fixture.forward(true);
  const std::shared_ptr<RecordedExchange> Queued =
      Fixture.forward(true, {7, 2, 1});
  BOOST_TEST(Fixture.Gateway_.load().Queued_ == 1U);
  Fixture.QuarantineLeft_ = std::chrono::minutes(10);
  Fixture.finishRun();
  BOOST_TEST(Fixture.Running_.size() == 1U);
  BOOST_TEST(Fixture.Gateway_.load().Running_ == 0U);
  BOOST_REQUIRE(Queued->Response_.has_value());
  const GatewayResult Result = decodeGatewayResult(*Queued->Response_);
  BOOST_TEST((Result.Outcome_ == Outcome::NotRun));
  BOOST_TEST((Result.RejectReason_ == RejectReason::Quarantined));
  BOOST_TEST((Result.RetryAfter_ == std::chrono::minutes(10)));
}

} // namespace lagoonhitch

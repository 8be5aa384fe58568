/// \file
/// Tests reads from the store that a peer relays, for a daemon that can't reach
/// the store itself.

#define BOOST_TEST_MODULE relayed_read
#include "daemon/peer_service.h"
#include "daemon/upstream_gateway.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "platform/monotonic_clock.h"
#include "platform/platform_headers.h"
#include "platform/store_client.h"
#include "tests/unit/endless_server.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

/// An address at which nothing listens.
constexpr const char *UnreachableAddress = "127.0.0.1:1";
constexpr const char *Service = "s";
/// Direct reads that fail before one is relayed.
constexpr int ReadsBeforeRelay = 3;
constexpr milliseconds MaxTestTime{8000};
constexpr std::size_t PieceBytes = 3600;
constexpr milliseconds PiecePause{30};
/// More pieces than arrive in any timeout of a read.
constexpr std::size_t SlowPieces = 100;

std::string responseHead(std::size_t BodyBytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) +
         "\r\n\r\n";
}

/// Returns the start of a reply to a read, up to the value of its only record.
std::string startOfRecord(std::size_t ValueBytes) {
  const std::size_t RecordBytes = 2 + ValueBytes;
  std::string Start(16, '\0');
  for (const unsigned Shift : {24U, 16U, 8U, 0U})
    Start.push_back(static_cast<char>((RecordBytes >> Shift) & 0xFFU));
  return Start + "\1k";
}

/// Returns a reply to a read that arrives in pieces.
ServerScript slowReply(std::size_t Pieces) {
  const std::size_t ValueBytes = Pieces * PieceBytes;
  const std::string Start = startOfRecord(ValueBytes);
  return {responseHead(Start.size() + ValueBytes) + Start,
          std::string(PieceBytes, 'v'), PiecePause};
}

HttpServerOptions serverOptions() {
  HttpServerOptions Options;
  Options.Address_ = "127.0.0.1:0";
  return Options;
}

/// A daemon that relays reads to the store, and one that can't reach the store.
struct RelayFixture {
  explicit RelayFixture(const std::string &StoreAddress)
      : Client_(Loop_, Time_, HttpClientOptions()),
        RelayClient_(Loop_, Time_, HttpClientOptions()),
        RelayStore_(
            RelayClient_, RelayClient_, StoreAddress,
            [] { return std::string(); },
            [](StoreEra, std::optional<StoreEra>) {}),
        Gateway_(
            Loop_, Time_, RelayClient_, platformHeaders(), Service,
            UnreachableAddress, KeyHooks(),
            {[] {},
             [](const GatewayRequest &) { return std::optional<Duration>(); },
             [](const StatedRateLimit &) {}, [] {}, [] {}}),
        Peers_(Time_, Gateway_, RelayStore_, 1,
               [](const RequestId &) { return false; }),
        Relay_(Loop_, serverOptions(),
               [this](HttpRequest Request,
                      const std::shared_ptr<HttpExchange> &Exchange) {
                 ++RelayedCalls_;
                 if (!RelayIsStuck_)
                   Peers_.handle(std::move(Request), Exchange);
               }),
        Source_(
            Client_, Client_, UnreachableAddress,
            [this] { return Relay_.address(); },
            [](StoreEra, std::optional<StoreEra>) {}) {
    for (int Failed = 0; Failed < ReadsBeforeRelay; ++Failed)
      read();
  }

  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_.after(Span, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
  }

  /// Runs the loop until a reply has arrived.
  ReadReply awaitReply(const std::optional<ReadReply> &Reply) {
    const Instant Limit = Time_.now() + MaxTestTime;
    while (!Reply && Time_.now() < Limit)
      runFor(milliseconds(10));
    BOOST_TEST(Reply.has_value());
    return Reply.value_or(ReadReply());
  }

  ReadReply read(milliseconds Wait = milliseconds(0)) {
    std::optional<ReadReply> Reply;
    Source_.read("t", 0, Wait,
                 [&Reply](ReadReply Read) { Reply = std::move(Read); });
    return awaitReply(Reply);
  }

  ReadReply readNewest() {
    std::optional<ReadReply> Reply;
    Source_.readNewest("t",
                       [&Reply](ReadReply Read) { Reply = std::move(Read); });
    return awaitReply(Reply);
  }

  MonotonicClock Time_;
  IoLoop Loop_;
  HttpClient Client_;
  HttpClient RelayClient_;
  StoreClient RelayStore_;
  UpstreamGateway Gateway_;
  PeerService Peers_;
  HttpServer Relay_;
  StoreClient Source_;
  int RelayedCalls_ = 0;
  bool RelayIsStuck_ = false;
};

} // namespace

/// A large reply takes longer to reach the relay than the daemon behind it may
/// wait for its first byte.
BOOST_AUTO_TEST_CASE(RelayedReadReceivesASlowReply) {
  EndlessServer StoreServer(slowReply(SlowPieces));
  RelayFixture Fixture(StoreServer.address());
  const ReadReply Reply = Fixture.read();
  BOOST_TEST(Fixture.RelayedCalls_ == 1);
  BOOST_TEST((Reply.Kind_ == ReadReply::Kind::Done));
  BOOST_REQUIRE(Reply.Records_.size() == 1U);
  BOOST_TEST(
      (Reply.Records_[0].Value_ == std::string(SlowPieces * PieceBytes, 'v')));
}

BOOST_AUTO_TEST_CASE(RelayedReadOfTheNewestRecordsReceivesASlowReply) {
  const std::string Start =
      R"({"end":1,"items":[{"key":"k","offset":0,"value":"AAAA"}]})";
  EndlessServer StoreServer(
      {responseHead(Start.size() + SlowPieces * PieceBytes) + Start,
       std::string(PieceBytes, ' '), PiecePause});
  RelayFixture Fixture(StoreServer.address());
  const ReadReply Reply = Fixture.readNewest();
  BOOST_TEST((Reply.Kind_ == ReadReply::Kind::Done));
  BOOST_TEST(Reply.Records_.size() == 1U);
}

/// The store may be slow to begin its reply as well.
BOOST_AUTO_TEST_CASE(RelayedReadReceivesALateAndSlowReply) {
  ServerScript Script = slowReply(SlowPieces);
  Script.PauseBeforeHead_ = milliseconds(500);
  EndlessServer StoreServer(std::move(Script));
  RelayFixture Fixture(StoreServer.address());
  BOOST_TEST((Fixture.read().Kind_ == ReadReply::Kind::Done));
}

/// A follower does not repeat a read whose reply is arriving.
BOOST_AUTO_TEST_CASE(ReplyThatReachesTheRelayCountsAsArriving) {
  EndlessServer StoreServer(slowReply(SlowPieces));
  RelayFixture Fixture(StoreServer.address());
  std::optional<ReadReply> Reply;
  const Store::ReadHandle Read = Fixture.Source_.read(
      "t", 0, milliseconds(0),
      [&Reply](ReadReply Received) { Reply = std::move(Received); });
  std::size_t Received = 0;
  for (int Look = 0; Look < 4; ++Look) {
    Fixture.runFor(milliseconds(300));
    BOOST_REQUIRE(!Reply);
    const std::size_t Now = Fixture.Source_.receivedBytes(Read);
    BOOST_TEST(Now > Received);
    Received = Now;
  }
}

/// Reports of progress have a minimum interval, so they may be further apart
/// than the parts of the reply.
BOOST_AUTO_TEST_CASE(RelayedReplyMayPauseAsLongAsADirectOne) {
  ServerScript Script = slowReply(3);
  Script.PauseAfterHead_ = milliseconds(60);
  Script.Pause_ = milliseconds(660);
  EndlessServer StoreServer(std::move(Script));
  RelayFixture Fixture(StoreServer.address());
  BOOST_TEST((Fixture.read().Kind_ == ReadReply::Kind::Done));
}

/// The relay waits for its own reply no longer than for a direct read.
BOOST_AUTO_TEST_CASE(RelayedReplyThatStopsArrivingFails) {
  const std::string Start = startOfRecord(PieceBytes);
  EndlessServer StoreServer(
      {responseHead(Start.size() + PieceBytes) + Start, ""});
  RelayFixture Fixture(StoreServer.address());
  const Instant StartedAt = Fixture.Time_.now();
  BOOST_TEST((Fixture.read().Kind_ == ReadReply::Kind::Failed));
  BOOST_TEST(Fixture.RelayedCalls_ == 1);
  BOOST_TEST(toMillis(Fixture.Time_.now() - StartedAt).count() < 2000);
}

BOOST_AUTO_TEST_CASE(ReadThroughAStuckRelayFails) {
  EndlessServer StoreServer(slowReply(1));
  RelayFixture Fixture(StoreServer.address());
  Fixture.RelayIsStuck_ = true;
  const Instant StartedAt = Fixture.Time_.now();
  BOOST_TEST((Fixture.read().Kind_ == ReadReply::Kind::Failed));
  BOOST_TEST(Fixture.RelayedCalls_ == 1);
  BOOST_TEST(toMillis(Fixture.Time_.now() - StartedAt).count() < 2000);
}

BOOST_AUTO_TEST_CASE(ReadThroughARelayWithoutStoreFails) {
  RelayFixture Fixture(UnreachableAddress);
  const Instant StartedAt = Fixture.Time_.now();
  BOOST_TEST((Fixture.read().Kind_ == ReadReply::Kind::Failed));
  BOOST_TEST(Fixture.RelayedCalls_ == 1);
  BOOST_TEST(toMillis(Fixture.Time_.now() - StartedAt).count() < 500);
}

/// Concurrent reads through one relay each get their own reply.
BOOST_AUTO_TEST_CASE(RelayedRepliesBelongToTheirReads) {
  constexpr int Reads = 20;
  constexpr std::size_t ValueBytes = 40000;
  IoLoop *Loop = nullptr;
  std::vector<std::shared_ptr<void>> Timers;
  int Arrived = 0;
  const auto Answer = [&](const HttpRequest &Request,
                          const std::shared_ptr<HttpExchange> &Exchange) {
    const std::size_t Name = Request.Target_.find("topic=") + 6;
    HttpResponse Response;
    Response.Body_ = startOfRecord(ValueBytes) +
                     std::string(ValueBytes, Request.Target_.at(Name));
    // Later reads are answered earlier.
    const milliseconds Delay(10 * (Reads - Arrived++));
    Timers.push_back(Loop->after(
        Delay, [Exchange, Response] { Exchange->respond(Response); }));
  };
  IoLoop StoreLoop;
  Loop = &StoreLoop;
  HttpServer StoreServer(StoreLoop, serverOptions(), Answer);
  RelayFixture Fixture(StoreServer.address());
  std::string Replies(Reads, '-');
  for (int Read = 0; Read < Reads; ++Read)
    Fixture.Source_.read(std::string(1, static_cast<char>('a' + Read)), 0,
                         milliseconds(0), [&Replies, Read](ReadReply Reply) {
                           if (Reply.Records_.size() == 1)
                             Replies[Read] = Reply.Records_[0].Value_.back();
                         });
  for (int Turn = 0; Turn < 60; ++Turn) {
    Fixture.runFor(milliseconds(5));
    const std::shared_ptr<void> End =
        StoreLoop.after(milliseconds(5), [&] { StoreLoop.stop(); });
    StoreLoop.restart();
    StoreLoop.run();
  }
  // Every second call is sent to the store directly, which is unreachable.
  BOOST_TEST(Replies == "a-c-e-g-i-k-m-o-q-s-");
}

} // namespace lagoonhitch

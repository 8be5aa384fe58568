/// \file
/// Tests what an HTTP server does with requests that it can't receive, and how
/// much of them it holds.

#define BOOST_TEST_MODULE server_memory
#include "net/address.h"
#include "net/http_server.h"
#include "net/io_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using boost::asio::ip::tcp;

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t MaxBodyBytes = 600 * Kilobyte;

MemoryBudgetOptions budgetOptions() {
  MemoryBudgetOptions Options;
  Options.MaxBytes_ = 1000 * Kilobyte;
  Options.SmallReserve_ = 200 * Kilobyte;
  Options.StallTime_ = milliseconds(100);
  return Options;
}

std::string headOf(std::size_t Bytes) {
  return "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Bytes) + "\r\n\r\n";
}

/// One connection to a server.
struct Client {
  explicit Client(const std::string &Address) : Socket_(Context_) {
    Socket_.connect(parseEndpoint(Address));
    Socket_.non_blocking(true);
  }

  /// Sends as much as the socket takes.
  void send(const std::string &Text) {
    boost::system::error_code Failure;
    boost::asio::write(Socket_, boost::asio::buffer(Text), Failure);
  }

  void read() {
    std::string Text(65536, '\0');
    boost::system::error_code Failure;
    while (!Failure) {
      const std::size_t Size =
          Socket_.read_some(boost::asio::buffer(Text), Failure);
      Received_ += Text.substr(0, Size);
    }
    Closed_ = Failure != boost::asio::error::would_block;
  }

  boost::asio::io_context Context_;
  tcp::socket Socket_;
  std::string Received_;
  bool Closed_ = false;
};

/// A server that keeps requests open until the test answers them.
struct ServerFixture {
  explicit ServerFixture(std::size_t MaxConnections = 100)
      : Budget_(std::make_shared<MemoryBudget>(budgetOptions())),
        Server_(Loop_, options(MaxConnections),
                [this](HttpRequest Request,
                       const std::shared_ptr<HttpExchange> &Exchange) {
                  Requests_.push_back(std::move(Request));
                  Exchanges_.push_back(Exchange);
                }) {}

  HttpServerOptions options(std::size_t MaxConnections) const {
    HttpServerOptions Options;
    Options.Address_ = "127.0.0.1:0";
    Options.MaxBodyBytes_ = MaxBodyBytes;
    Options.RequestTimeout_ = milliseconds(300);
    Options.MaxConnections_ = MaxConnections;
    Options.Budget_ = Budget_;
    return Options;
  }

  Client &connect() {
    Clients_.push_back(std::make_unique<Client>(Server_.address()));
    return *Clients_.back();
  }

  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_.after(Span, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
    for (const std::unique_ptr<Client> &Each : Clients_)
      Each->read();
  }

  /// Sends a text completely while the server runs.
  void sendAll(Client &Sender, const std::string &Text) {
    constexpr std::size_t PieceBytes = 16 * Kilobyte;
    for (std::size_t At = 0; At < Text.size(); At += PieceBytes) {
      Sender.send(Text.substr(At, PieceBytes));
      runFor(milliseconds(1));
    }
  }

  void answer(std::size_t Bytes) {
    HttpResponse Response;
    Response.Body_.resize(Bytes);
    Requests_.erase(Requests_.begin());
    Exchanges_.front()->respond(std::move(Response));
    Exchanges_.erase(Exchanges_.begin());
  }

  std::uint64_t rejections(RequestRejection Reason) const {
    return Server_.rejections()[static_cast<std::size_t>(Reason)];
  }

  std::shared_ptr<MemoryBudget> Budget_;
  IoLoop Loop_;
  std::vector<std::unique_ptr<Client>> Clients_;
  std::vector<HttpRequest> Requests_;
  std::vector<std::shared_ptr<HttpExchange>> Exchanges_;
  HttpServer Server_;
};

bool isNotRun(const Client &Caller, const std::string &Status) {
  return Caller.Received_.starts_with("HTTP/1.1 " + Status) &&
         Caller.Received_.find("Lagoonhitch-Outcome: not-run") !=
             std::string::npos;
}

} // namespace

/// A body that is counted only while it is received fills the memory while it
/// waits for its upstream.
BOOST_AUTO_TEST_CASE(BodyStopsCountingBeforeItsRequestHasEnded) {
  ServerFixture Fixture;
  Client &Caller = Fixture.connect();
  Fixture.sendAll(Caller, headOf(MaxBodyBytes));
  BOOST_TEST(Fixture.Budget_->bytes() >= MaxBodyBytes);
  Fixture.sendAll(Caller, std::string(MaxBodyBytes, 'a'));
  Fixture.runFor(milliseconds(20));
  BOOST_REQUIRE(Fixture.Requests_.size() == 1U);
  BOOST_TEST(Fixture.Requests_[0].Body_.size() == MaxBodyBytes);
  BOOST_TEST(Fixture.Budget_->bytes() == MaxBodyBytes);
  Fixture.answer(0);
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(Caller.Received_.starts_with("HTTP/1.1 200"));
  BOOST_TEST(Fixture.Budget_->bytes() == 0U);
}

/// Several bodies of legal size used up the memory.
BOOST_AUTO_TEST_CASE(BodyThatDoesNotFitIsReceived) {
  ServerFixture Fixture;
  Client &First = Fixture.connect();
  Client &Second = Fixture.connect();
  Client &Small = Fixture.connect();
  Fixture.sendAll(First, headOf(MaxBodyBytes));
  Fixture.sendAll(Second, headOf(MaxBodyBytes));
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(isNotRun(Second, "503"));
  BOOST_TEST(Second.Received_.find("Retry-After: 0.25") != std::string::npos);
  BOOST_TEST(Second.Closed_);
  BOOST_TEST(First.Received_.empty());
  Fixture.sendAll(Small,
                  headOf(40 * Kilobyte) + std::string(40 * Kilobyte, 'a'));
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(Fixture.Requests_.size() == 1U);
  BOOST_TEST(Fixture.rejections(RequestRejection::NoMemory) == 1U);
}

/// Clients that stop just short of the end kept others out.
BOOST_AUTO_TEST_CASE(StalledBodyKeepsOthersOut) {
  ServerFixture Fixture;
  Client &Stalled = Fixture.connect();
  Fixture.sendAll(Stalled, headOf(MaxBodyBytes));
  Fixture.runFor(milliseconds(120));
  Client &Next = Fixture.connect();
  Fixture.sendAll(Next, headOf(MaxBodyBytes));
  Fixture.sendAll(Next, std::string(MaxBodyBytes, 'a'));
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(isNotRun(Stalled, "503"));
  BOOST_TEST(Fixture.Requests_.size() == 1U);
}

/// Chunked bodies announce nothing, so they are counted as they grow.
BOOST_AUTO_TEST_CASE(ChunkedBodiesGrowBeyondTheMemory) {
  ServerFixture Fixture;
  const std::string Head =
      "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  Client &One = Fixture.connect();
  Client &Other = Fixture.connect();
  const std::string Chunk = "4000\r\n" + std::string(0x4000, 'a') + "\r\n";
  One.send(Head);
  Other.send(Head);
  std::size_t Largest = 0;
  for (int Round = 0; Round < 34; ++Round) {
    One.send(Chunk);
    Other.send(Chunk);
    Fixture.runFor(milliseconds(1));
    Largest = std::max(Largest, Fixture.Budget_->bytes());
  }
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(Largest <= budgetOptions().MaxBytes_);
  BOOST_TEST(Fixture.rejections(RequestRejection::NoMemory) == 1U);
  BOOST_TEST((isNotRun(One, "503") || isNotRun(Other, "503")));
}

/// The body would be received for nothing.
BOOST_AUTO_TEST_CASE(AnnouncedBodyOverTheLimitIsAwaited) {
  ServerFixture Fixture;
  Client &Caller = Fixture.connect();
  Fixture.sendAll(Caller, headOf(MaxBodyBytes + 1));
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(isNotRun(Caller, "413"));
  BOOST_TEST(Caller.Closed_);
  BOOST_TEST(Fixture.Budget_->bytes() < 64 * Kilobyte);
}

/// The timeout closed the connection before the response was sent, so callers
/// did not know that their request had not run.
BOOST_AUTO_TEST_CASE(LateRequestGetsNoResponse) {
  ServerFixture Fixture;
  Client &Caller = Fixture.connect();
  Fixture.sendAll(Caller, headOf(100 * Kilobyte) + "a");
  Fixture.runFor(milliseconds(400));
  BOOST_TEST(isNotRun(Caller, "408"));
  BOOST_TEST(Caller.Closed_);
  BOOST_TEST(Fixture.Budget_->bytes() == 0U);
}

/// A request that was received in time was rejected as late because the loop
/// had not read it.
BOOST_DATA_TEST_CASE(RequestThatHasArrivedIsRejectedAsLate,
                     boost::unit_test::data::make({4, 10, 20, 36, 44, 60, 70,
                                                   100, 130, 150, 200, 300}),
                     BodyKilobytes) {
  ServerFixture Fixture;
  Client &Caller = Fixture.connect();
  const std::string Body(BodyKilobytes * Kilobyte, 'a');
  Fixture.sendAll(Caller, headOf(Body.size()) + "a");
  Caller.send(Body.substr(1));
  std::this_thread::sleep_for(milliseconds(400));
  Fixture.runFor(milliseconds(50));
  BOOST_TEST(Fixture.Requests_.size() == 1U);
}

/// Responses that nobody reads used up the memory.
BOOST_AUTO_TEST_CASE(UnreadResponsesStayInMemory) {
  constexpr std::size_t ResponseBytes = 16 * Kilobyte * Kilobyte;
  ServerFixture Fixture;
  Client Slow(Fixture.Server_.address());
  std::vector<ConnectionCut> Cuts;
  Fixture.Server_.setOnCut(
      [&Cuts](const ConnectionCut &Cut) { Cuts.push_back(Cut); });
  Slow.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Fixture.runFor(milliseconds(20));
  BOOST_REQUIRE(Fixture.Requests_.size() == 1U);
  Fixture.answer(ResponseBytes);
  BOOST_TEST(Fixture.Budget_->bytes() >= ResponseBytes);
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(Fixture.Budget_->bytes() == 0U);
  BOOST_TEST(Fixture.Server_.openConnections() == 0U);
  BOOST_TEST(Fixture.rejections(RequestRejection::ResponseNotRead) == 1U);
  BOOST_REQUIRE(Cuts.size() == 1U);
  BOOST_TEST(Cuts[0].UnsentResponses_ == 1U);
  BOOST_TEST((Cuts[0].Cause_ == ConnectionEnd::ResponseNotRead));
}

/// Idle connections of callers used up the descriptors.
BOOST_AUTO_TEST_CASE(ConnectionsAboveTheLimitStayOpen) {
  ServerFixture Fixture(2);
  Client &First = Fixture.connect();
  Fixture.runFor(milliseconds(10));
  Client &Second = Fixture.connect();
  Fixture.runFor(milliseconds(10));
  Client &Third = Fixture.connect();
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(First.Closed_);
  BOOST_TEST(!Second.Closed_);
  Third.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Second.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(Fixture.Requests_.size() == 2U);
  Client &Fourth = Fixture.connect();
  Fixture.runFor(milliseconds(20));
  BOOST_TEST(Fourth.Closed_);
  BOOST_TEST(!Second.Closed_);
  BOOST_TEST(Fixture.Server_.openConnections() == 2U);
}

} // namespace lagoonhitch

/// \file
/// Tests that a peer which reads slowly is not taken for one that is gone, and
/// that one which is gone is noticed. Uses TCP connections, as this rests on
/// what the kernel does.

#define BOOST_TEST_MODULE slow_reader
#include "net/address.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "platform/monotonic_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using boost::asio::ip::tcp;

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr int SmallWindowBytes = 4096;
/// A pause of a reader, longer than the time after which a peer counts as gone.
constexpr milliseconds Pause{3500};
/// Time without an acknowledgement after which a peer counts as gone, and what
/// a busy machine may add.
constexpr milliseconds GoneAfter{2500};
/// The same on a connection without data on its way.
constexpr milliseconds GoneAfterKeepAlive{3000};
constexpr milliseconds Lateness{700};
constexpr milliseconds Step{20};

/// Lets the kernel drop all that arrives at a socket, without an answer, as if
/// the host had vanished.
void dropInput(tcp::socket &Socket) {
  sock_filter DropAll = {BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog Program = {1, &DropAll};
  BOOST_REQUIRE(setsockopt(Socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                           &Program, sizeof(Program)) == 0);
}

/// A connection with a small receive buffer.
struct SlowPeer {
  SlowPeer() : Socket_(Context_) {}

  void connect(const std::string &Address) {
    Socket_.open(tcp::v4());
    Socket_.set_option(tcp::socket::receive_buffer_size(SmallWindowBytes));
    Socket_.connect(parseEndpoint(Address));
    Socket_.non_blocking(true);
  }

  void send(const std::string &Text) {
    boost::asio::write(Socket_, boost::asio::buffer(Text));
  }

  void read() {
    std::string Text(65536, '\0');
    boost::system::error_code Failure;
    while (!Failure) {
      const std::size_t Size =
          Socket_.read_some(boost::asio::buffer(Text), Failure);
      Received_ += Text.substr(0, Size);
    }
    Broken_ = Failure != boost::asio::error::would_block &&
              Failure != boost::asio::error::eof;
  }

  /// Returns how much of the body of a response was received.
  std::size_t bodyBytes() const {
    const std::size_t HeadEnd = Received_.find("\r\n\r\n");
    return HeadEnd == std::string::npos ? 0 : Received_.size() - HeadEnd - 4;
  }

  boost::asio::io_context Context_;
  tcp::socket Socket_;
  std::string Received_;
  bool Broken_ = false;
};

struct LoopFixture {
  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_->after(Span, [this] { Loop_->stop(); });
    Loop_->restart();
    Loop_->run();
  }

  /// Runs until a condition holds, for a while at most. Returns the time.
  template <typename Condition>
  milliseconds runUntil(Condition IsMet, milliseconds Limit) {
    const Instant Start = Time_.now();
    while (!IsMet() && Time_.now() - Start < Limit)
      runFor(Step);
    return toMillis(Time_.now() - Start);
  }

  MonotonicClock Time_;
  std::unique_ptr<IoLoop> Loop_ = std::make_unique<IoLoop>();
};

/// A server that answers each request with a body of the same size.
struct ServerFixture : LoopFixture {
  explicit ServerFixture(std::size_t BodyBytes, MemoryBudgetOptions Budget = {})
      : Budget_(std::make_shared<MemoryBudget>(Budget)),
        Server_(std::make_unique<HttpServer>(
            *Loop_, options(),
            [BodyBytes](const HttpRequest &,
                        const std::shared_ptr<HttpExchange> &Exchange) {
              HttpResponse Response;
              Response.Body_ = std::string(BodyBytes, 'x');
              Exchange->respond(std::move(Response));
            })) {}

  HttpServerOptions options() const {
    HttpServerOptions Options;
    Options.Address_ = "127.0.0.1:0";
    Options.IdleTimeout_ = milliseconds(8000);
    Options.Budget_ = Budget_;
    return Options;
  }

  /// Sends a request over a new connection.
  void request(SlowPeer &Caller) {
    Caller.connect(Server_->address());
    Caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runFor(milliseconds(50));
  }

  std::shared_ptr<MemoryBudget> Budget_;
  std::unique_ptr<HttpServer> Server_;
};

/// A server of which the test accepts the connections and reads the requests.
struct ClientFixture : LoopFixture {
  ClientFixture()
      : Acceptor_(Context_), Peer_(Context_), Client_(*Loop_, Time_, {}) {
    const tcp::endpoint Any(boost::asio::ip::address_v4::loopback(), 0);
    Acceptor_.open(Any.protocol());
    Acceptor_.set_option(tcp::acceptor::receive_buffer_size(SmallWindowBytes));
    Acceptor_.bind(Any);
    Acceptor_.listen();
    Acceptor_.non_blocking(true);
  }

  void send(std::size_t BodyBytes) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/";
    Request.Body_ = std::string(BodyBytes, 'x');
    HttpCallOptions Options;
    Options.Timeout_ = milliseconds(15000);
    Client_.send(formatEndpoint(Acceptor_.local_endpoint()), std::move(Request),
                 Options,
                 [this](HttpResult Result) { Result_ = std::move(Result); });
    const auto Accept = [this] {
      boost::system::error_code Failure;
      Acceptor_.accept(Peer_, Failure);
      return !Failure;
    };
    runUntil(Accept, milliseconds(2000));
    BOOST_REQUIRE(Peer_.is_open());
    Peer_.non_blocking(true);
    runFor(milliseconds(50));
  }

  /// Reads until a number of bytes has arrived.
  bool readAtLeast(std::size_t Bytes) {
    std::string Text(65536, '\0');
    std::size_t Received = 0;
    const auto Read = [&] {
      boost::system::error_code Failure;
      while (!Failure)
        Received += Peer_.read_some(boost::asio::buffer(Text), Failure);
      return Received >= Bytes || Failure != boost::asio::error::would_block;
    };
    runUntil(Read, milliseconds(5000));
    return Received >= Bytes;
  }

  boost::asio::io_context Context_;
  tcp::acceptor Acceptor_;
  tcp::socket Peer_;
  HttpClient Client_;
  std::optional<HttpResult> Result_;
};

/// Lets a caller read, and checks that it gets a body of a size.
void expectBody(LoopFixture &Fixture, SlowPeer &Caller, std::size_t BodyBytes) {
  const auto HasAll = [&Caller, BodyBytes] {
    Caller.read();
    return Caller.Broken_ || Caller.bodyBytes() >= BodyBytes;
  };
  Fixture.runUntil(HasAll, milliseconds(10000));
  BOOST_TEST(!Caller.Broken_);
  BOOST_TEST(Caller.bodyBytes() == BodyBytes);
}

/// Waits until a server has closed all connections. Returns the time.
milliseconds awaitNoConnection(ServerFixture &Fixture) {
  const auto HasNone = [&Fixture] {
    return Fixture.Server_->openConnections() == 0;
  };
  const milliseconds Taken = Fixture.runUntil(HasNone, milliseconds(20000));
  BOOST_TEST_MESSAGE("noticed after " << Taken.count() << " ms");
  return Taken;
}

constexpr std::size_t SmallBodyBytes = 30000;
constexpr const char *TwoRequests =
    "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::size_t LargeBodyBytes = 6000000;

} // namespace

/// The user timeout ended the connection, and the answer to a request that had
/// run was lost.
BOOST_DATA_TEST_CASE(CallerThatReadsNothingForAWhileGetsItsAnswer,
                     boost::unit_test::data::make({SmallBodyBytes,
                                                   LargeBodyBytes}),
                     BodyBytes) {
  ServerFixture Fixture(BodyBytes);
  SlowPeer Caller;
  Fixture.request(Caller);
  Fixture.runFor(Pause);
  expectBody(Fixture, Caller, BodyBytes);
}

/// A stop closes the connection once the kernel has the answer.
BOOST_AUTO_TEST_CASE(AnswerOutlivesAServerThatStops) {
  ServerFixture Fixture(SmallBodyBytes);
  SlowPeer Caller;
  Fixture.request(Caller);
  Fixture.Server_->drain();
  Fixture.runFor(milliseconds(50));
  BOOST_TEST(Fixture.Server_->openExchanges() == 0U);
  Fixture.Server_.reset();
  Fixture.runFor(Pause);
  expectBody(Fixture, Caller, SmallBodyBytes);
}

/// The connection closes after the response. A request that arrives behind it
/// after that reset the connection, and the rest of the response was lost.
BOOST_AUTO_TEST_CASE(LateRequestBehindTheLastResponseResetsNothing) {
  ServerFixture Fixture(SmallBodyBytes);
  Fixture.Server_->disableKeepAlive();
  SlowPeer Caller;
  Caller.connect(Fixture.Server_->address());
  Caller.send(TwoRequests);
  Fixture.runFor(milliseconds(1500));
  Caller.send(TwoRequests);
  Fixture.runFor(milliseconds(100));
  expectBody(Fixture, Caller, SmallBodyBytes);
}

/// A caller that vanishes before its answer is noticed within seconds.
BOOST_AUTO_TEST_CASE(CallerThatIsGoneIsNoticed) {
  ServerFixture Fixture(SmallBodyBytes);
  SlowPeer Caller;
  Caller.connect(Fixture.Server_->address());
  Fixture.runFor(milliseconds(50));
  Caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  dropInput(Caller.Socket_);
  BOOST_TEST((awaitNoConnection(Fixture) <= GoneAfter + Lateness));
}

/// The window of a caller that read nothing is closed when it vanishes.
BOOST_AUTO_TEST_CASE(SlowCallerThatIsGoneIsNoticed) {
  ServerFixture Fixture(SmallBodyBytes);
  SlowPeer Caller;
  Fixture.request(Caller);
  Fixture.runFor(milliseconds(1000));
  dropInput(Caller.Socket_);
  BOOST_TEST((awaitNoConnection(Fixture) <= GoneAfter + Lateness));
}

/// As above, after a pause that the user timeout did not allow.
BOOST_AUTO_TEST_CASE(CallerThatIsGoneAfterALongPauseIsNoticed) {
  ServerFixture Fixture(SmallBodyBytes);
  SlowPeer Caller;
  Fixture.request(Caller);
  Fixture.runFor(Pause);
  BOOST_REQUIRE(Fixture.Server_->openConnections() == 1U);
  dropInput(Caller.Socket_);
  BOOST_TEST((awaitNoConnection(Fixture) <= GoneAfter + Lateness));
}

/// Small responses of which the kernel takes only a part stay in memory while
/// their callers read nothing.
BOOST_AUTO_TEST_CASE(SmallResponsesThatAreNotReadGiveWay) {
  constexpr std::size_t ResponseBytes = 60000;
  constexpr int Callers = 20;
  MemoryBudgetOptions Options;
  Options.MaxBytes_ = 5 * ResponseBytes;
  ServerFixture Fixture(ResponseBytes, Options);
  std::vector<std::unique_ptr<SlowPeer>> Slow;
  for (int Index = 0; Index < Callers; ++Index) {
    Slow.push_back(std::make_unique<SlowPeer>());
    Fixture.request(*Slow.back());
    // More than the kernel takes.
    for (int Request = 0; Request < 100; ++Request)
      Slow.back()->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  Fixture.runFor(milliseconds(2500));
  SlowPeer Next;
  Fixture.request(Next);
  BOOST_TEST(Fixture.Budget_->bytes() > 0U);
  BOOST_TEST(Fixture.Budget_->bytes() <= Options.MaxBytes_);
  BOOST_TEST(Next.bodyBytes() == 0U);
  expectBody(Fixture, Next, ResponseBytes);
}

/// A peer or an upstream that does not read a request for a while.
BOOST_DATA_TEST_CASE(RequestReachesAPeerThatReadsNothingForAWhile,
                     boost::unit_test::data::make({SmallBodyBytes,
                                                   LargeBodyBytes}),
                     BodyBytes) {
  ClientFixture Fixture;
  Fixture.send(BodyBytes);
  Fixture.runFor(Pause);
  BOOST_TEST(Fixture.readAtLeast(BodyBytes));
  boost::system::error_code Failure;
  boost::asio::write(Fixture.Peer_,
                     boost::asio::buffer(std::string(
                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                     Failure);
  Fixture.runFor(milliseconds(100));
  BOOST_REQUIRE(Fixture.Result_.has_value());
  BOOST_TEST((Fixture.Result_->Status_ == HttpCallStatus::Completed));
}

/// The peer has the request, so that nothing is to be acknowledged.
BOOST_AUTO_TEST_CASE(PeerThatIsGoneBeforeItsResponseIsNoticed) {
  ClientFixture Fixture;
  Fixture.send(0);
  dropInput(Fixture.Peer_);
  const milliseconds Taken = Fixture.runUntil(
      [&] { return Fixture.Result_.has_value(); }, milliseconds(10000));
  BOOST_TEST_MESSAGE("noticed after " << Taken.count() << " ms");
  BOOST_REQUIRE(Fixture.Result_.has_value());
  BOOST_TEST((Fixture.Result_->Status_ == HttpCallStatus::ConnectionLost));
  BOOST_TEST((Taken <= GoneAfterKeepAlive + Lateness));
}

BOOST_AUTO_TEST_CASE(PeerThatIsGoneIsNoticed) {
  ClientFixture Fixture;
  Fixture.send(SmallBodyBytes);
  dropInput(Fixture.Peer_);
  const milliseconds Taken = Fixture.runUntil(
      [&] { return Fixture.Result_.has_value(); }, milliseconds(10000));
  BOOST_TEST_MESSAGE("noticed after " << Taken.count() << " ms");
  BOOST_REQUIRE(Fixture.Result_.has_value());
  BOOST_TEST((Fixture.Result_->Status_ == HttpCallStatus::ConnectionLost));
  BOOST_TEST((Taken <= GoneAfter + Lateness));
}

} // namespace lagoonhitch

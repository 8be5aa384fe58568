/// \file
/// Tests how an HTTP server drains and counts open exchanges.

#define BOOST_TEST_MODULE server
#include "net/address.h"
#include "net/http_server.h"
#include "net/io_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <exception>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

using boost::asio::ip::tcp;

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

/// A server that responds to every request immediately, and one connection to
/// it.
struct ServerFixture {
  ServerFixture()
      : Server_(Loop_, options(),
                [this](const HttpRequest &,
                       const std::shared_ptr<HttpExchange> &Exchange) {
                  ++Served_;
                  HttpResponse Response;
                  Response.Body_.resize(ResponseBytes_);
                  Exchange->respond(std::move(Response));
                }),
        Client_(Context_) {
    Client_.connect(parseEndpoint(Server_.address()));
    Client_.non_blocking(true);
  }

  static HttpServerOptions options() {
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

  void sendRequest() {
    const std::string Text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::asio::write(Client_, boost::asio::buffer(Text));
  }

  /// Returns the received bytes. Sets Closed to whether the server has closed
  /// the connection after them.
  std::string read(bool &Closed) {
    std::string Text(4096, '\0');
    boost::system::error_code Failure;
    const std::size_t Size =
        Client_.read_some(boost::asio::buffer(Text), Failure);
    Text.resize(Size);
    char Byte = 0;
    Client_.read_some(boost::asio::buffer(&Byte, 1), Failure);
    Closed = Failure == boost::asio::error::eof;
    return Text;
  }

  /// Reads all bytes that have arrived and returns their number.
  std::size_t readPending() {
    std::string Text(65536, '\0');
    boost::system::error_code Failure;
    std::size_t Total = 0;
    while (!Failure)
      Total += Client_.read_some(boost::asio::buffer(Text), Failure);
    return Total;
  }

  IoLoop Loop_;
  HttpServer Server_;
  boost::asio::io_context Context_;
  tcp::socket Client_;
  int Served_ = 0;
  std::size_t ResponseBytes_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(AnswersReceivedRequestsWhileDraining) {
  ServerFixture Fixture;
  bool Closed = false;
  Fixture.sendRequest();
  Fixture.runFor(milliseconds(30));
  BOOST_TEST(Fixture.read(Closed).starts_with("HTTP/1.1 200"));
  BOOST_TEST(!Closed);
  Fixture.sendRequest();
  Fixture.Server_.drain();
  Fixture.runFor(milliseconds(30));
  BOOST_TEST(Fixture.Served_ == 2);
  BOOST_TEST(Fixture.read(Closed).starts_with("HTTP/1.1 200"));
  BOOST_TEST(Closed);
}

/// A daemon that stops while it sends a response would cut that off.
BOOST_AUTO_TEST_CASE(CountsExchangesUntilTheResponseIsSent) {
  ServerFixture Fixture;
  Fixture.ResponseBytes_ = std::size_t{32} * 1024 * 1024;
  Fixture.sendRequest();
  Fixture.runFor(milliseconds(100));
  BOOST_TEST(Fixture.Served_ == 1);
  BOOST_TEST(Fixture.Server_.openExchanges() == 1U);
  std::size_t Received = 0;
  for (int Round = 0; Round < 1000 && Received < Fixture.ResponseBytes_;
       ++Round) {
    Received += Fixture.readPending();
    Fixture.runFor(milliseconds(5));
  }
  BOOST_TEST(Received > Fixture.ResponseBytes_);
  BOOST_TEST(Fixture.Server_.openExchanges() == 0U);
}

/// A caller can't tell a connection that the server has not accepted yet from
/// an accepted one.
BOOST_AUTO_TEST_CASE(AnswersRequestsOnConnectionsNotYetAccepted) {
  ServerFixture Fixture;
  bool Closed = false;
  Fixture.sendRequest();
  Fixture.Server_.drain();
  Fixture.runFor(milliseconds(30));
  BOOST_TEST(Fixture.Served_ == 1);
  BOOST_TEST(Fixture.read(Closed).starts_with("HTTP/1.1 200"));
  BOOST_TEST(Closed);
}

/// A busy daemon would pass it on to an upstream long after its caller has
/// left.
BOOST_AUTO_TEST_CASE(RequestOfAClientThatHasLeftIsNotHandled) {
  ServerFixture Fixture;
  Fixture.Server_.checkClients(true);
  Fixture.runFor(milliseconds(30));
  Fixture.sendRequest();
  Fixture.Client_.close();
  Fixture.runFor(milliseconds(30));
  BOOST_TEST(Fixture.Served_ == 0);
  BOOST_TEST(Fixture.Server_.openConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(
    RequestsOfConnectedClientsAreHandledWhileClientsAreChecked) {
  ServerFixture Fixture;
  bool Closed = false;
  Fixture.Server_.checkClients(true);
  Fixture.sendRequest();
  Fixture.sendRequest();
  Fixture.runFor(milliseconds(30));
  BOOST_TEST(Fixture.Served_ == 2);
  BOOST_TEST(Fixture.read(Closed).starts_with("HTTP/1.1 200"));
  BOOST_TEST(!Closed);
}

/// A caller sends its first request some time after it has opened the
/// connection. If the server closes it in between, the caller does not know
/// whether the request ran.
BOOST_AUTO_TEST_CASE(AnswersFirstRequestsThatArriveWhileDraining) {
  ServerFixture Fixture;
  bool Closed = false;
  Fixture.runFor(milliseconds(30));
  Fixture.Server_.drain();
  Fixture.runFor(milliseconds(30));
  Fixture.sendRequest();
  Fixture.runFor(milliseconds(30));
  BOOST_TEST(Fixture.Served_ == 1);
  BOOST_TEST(Fixture.read(Closed).starts_with("HTTP/1.1 200"));
  BOOST_TEST(Closed);
}

BOOST_AUTO_TEST_CASE(ClosesIdleConnectionsWhileDraining) {
  ServerFixture Fixture;
  bool Closed = false;
  Fixture.sendRequest();
  Fixture.runFor(milliseconds(30));
  Fixture.read(Closed);
  Fixture.Server_.drain();
  Fixture.runFor(milliseconds(30));
  Fixture.read(Closed);
  BOOST_TEST(Closed);
  BOOST_TEST(Fixture.Served_ == 1);
}

BOOST_AUTO_TEST_CASE(ServesOpenConnectionsAfterItStopsAccepting) {
  ServerFixture Fixture;
  bool Closed = false;
  Fixture.runFor(milliseconds(30));
  Fixture.Server_.stopAccepting();
  Fixture.runFor(milliseconds(30));
  BOOST_TEST(Fixture.Server_.openConnections() == 1U);
  Fixture.sendRequest();
  Fixture.runFor(milliseconds(30));
  BOOST_TEST(Fixture.read(Closed).starts_with("HTTP/1.1 200"));
}

/// An upstream that sends a request or a heartbeat with bytes without end. The
/// daemon kept them all until the request's timeout.
BOOST_DATA_TEST_CASE(
    RequestWithoutEndIsCutAtItsLimits,
    boost::unit_test::data::make(
        {"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;",
         "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\nA: ",
         "PUT / HTTP/1.1\r\nHost: ", "aaaa"}),
    Head) {
  constexpr std::size_t PieceBytes = std::size_t{64} * 1024;
  constexpr std::size_t MaxAcceptedBytes = std::size_t{16} * 1024 * 1024;
  ServerFixture Fixture;
  std::string Piece = Head;
  std::size_t Sent = 0;
  boost::system::error_code Failure;
  const auto IsOpen = [&Failure] {
    return !Failure || Failure == boost::asio::error::would_block;
  };
  while (IsOpen() && Sent < 2 * MaxAcceptedBytes) {
    Sent += Fixture.Client_.write_some(boost::asio::buffer(Piece), Failure);
    if (!Failure)
      Piece.assign(PieceBytes, 'a');
    else
      Fixture.runFor(milliseconds(1));
  }
  BOOST_TEST(Sent < MaxAcceptedBytes);
}

// The connection was closed, or stayed open, without a response.
BOOST_AUTO_TEST_CASE(FailedHandlerLeavesItsRequestWithoutResponse) {
  std::shared_ptr<HttpExchange> Kept;
  for (const bool KeepsExchange : {false, true}) {
    int Failures = 0;
    IoLoop Loop([&Failures](const std::exception &) { ++Failures; });
    HttpServer Server(Loop, ServerFixture::options(),
                      [&](const HttpRequest &,
                          const std::shared_ptr<HttpExchange> &Exchange) {
                        if (KeepsExchange)
                          Kept = Exchange;
                        throw std::runtime_error("a fault");
                      });
    boost::asio::io_context Context;
    tcp::socket Client(Context);
    Client.connect(parseEndpoint(Server.address()));
    Client.non_blocking(true);
    const std::string Text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::asio::write(Client, boost::asio::buffer(Text));
    const std::shared_ptr<void> End =
        Loop.after(milliseconds(50), [&Loop] { Loop.stop(); });
    Loop.run();
    std::string Received(4096, '\0');
    boost::system::error_code Failure;
    Received.resize(Client.read_some(boost::asio::buffer(Received), Failure));
    BOOST_TEST(Failures == 1);
    BOOST_TEST(Received.starts_with("HTTP/1.1 500"));
    BOOST_TEST(Received.find("Lagoonhitch-Outcome: unknown") !=
               std::string::npos);
    BOOST_TEST(Server.openExchanges() == 0U);
    Kept.reset();
  }
}

} // namespace lagoonhitch

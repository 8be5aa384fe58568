/// \file
/// Tests how an HTTP server handles requests while it drains.

#define BOOST_TEST_MODULE server
#include "net/address.h"
#include "net/http_server.h"
#include "net/io_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

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
                  Exchange->respond(HttpResponse());
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

  IoLoop Loop_;
  HttpServer Server_;
  boost::asio::io_context Context_;
  tcp::socket Client_;
  int Served_ = 0;
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

} // namespace lagoonhitch

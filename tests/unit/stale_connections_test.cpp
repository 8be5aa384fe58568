/// \file
/// Tests how an HTTP server handles connections that clients gave up before the
/// server accepted them.

#define BOOST_TEST_MODULE stale_connections
#include "net/address.h"
#include "net/http_server.h"
#include "net/io_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>

using boost::asio::ip::tcp;

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t StaleConnections = 300;
/// Duration of each turn of the server's loop.
constexpr milliseconds TurnTime{5};
/// How long a client waits for a connection before it gives up.
constexpr milliseconds ClientPatience{1000};

/// A server whose loop has much to do.
struct BusyServer {
  BusyServer()
      : Server_(Loop_, options(),
                [this](const HttpRequest &,
                       const std::shared_ptr<HttpExchange> &Exchange) {
                  ++Handled_;
                  Exchange->respond(HttpResponse());
                }) {
    work();
  }

  static HttpServerOptions options() {
    HttpServerOptions Options;
    Options.Address_ = "127.0.0.1:0";
    return Options;
  }

  void work() {
    std::this_thread::sleep_for(TurnTime);
    Loop_.post([this] { work(); });
  }

  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_.after(Span, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
  }

  /// Opens a connection that the server has not accepted yet.
  tcp::socket connect() {
    tcp::socket Client(Context_);
    Client.connect(parseEndpoint(Server_.address()));
    return Client;
  }

  static void sendRequest(tcp::socket &Client) {
    const std::string Text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::asio::write(Client, boost::asio::buffer(Text));
  }

  IoLoop Loop_;
  HttpServer Server_;
  boost::asio::io_context Context_;
  std::size_t Handled_ = 0;
};

bool hasResponse(tcp::socket &Client) {
  Client.non_blocking(true);
  std::string Text(4096, '\0');
  boost::system::error_code Failure;
  Text.resize(Client.read_some(boost::asio::buffer(Text), Failure));
  return Text.starts_with("HTTP/1.1 200");
}

} // namespace

/// If each abandoned connection costs a turn of the loop, those that are
/// accepted have been abandoned meanwhile, again and again.
BOOST_AUTO_TEST_CASE(AbandonedConnectionsKeepOutNewOnes) {
  BusyServer Busy;
  for (std::size_t Index = 0; Index < StaleConnections; ++Index) {
    tcp::socket Stale = Busy.connect();
    Busy.sendRequest(Stale);
  }
  tcp::socket Client = Busy.connect();
  Busy.sendRequest(Client);
  Busy.runFor(ClientPatience);
  BOOST_TEST(hasResponse(Client));
  BOOST_TEST(Busy.Handled_ == 1U);
}

} // namespace lagoonhitch

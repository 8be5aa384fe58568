/// \file
/// Tests that an HTTP server does not close a connection that has waited for
/// long if a request has arrived on it, and that its new limits apply to such
/// a connection.

#define BOOST_TEST_MODULE idle_connection
#include "net/address.h"
#include "net/http_server.h"
#include "net/io_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using boost::asio::ip::tcp;

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds IdleTimeout{200};
/// Time for the server to handle what has arrived.
constexpr milliseconds TurnTime{50};
/// How long the server's loop stands still.
constexpr milliseconds Pause{300};

/// A server that responds to every request immediately, and connections to it
/// that have had one response each.
class IdleConnections {
public:
  explicit IdleConnections(
      std::size_t Count,
      std::size_t MaxConnections = HttpServerOptions().MaxConnections_)
      : Server_(Loop_, options(MaxConnections),
                [](const HttpRequest &,
                   const std::shared_ptr<HttpExchange> &Exchange) {
                  Exchange->respond(HttpResponse());
                }) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Clients_.push_back(connect());
    sendRequests();
    runFor(TurnTime);
    BOOST_REQUIRE_EQUAL(responses(), Count);
  }

  static HttpServerOptions options(std::size_t MaxConnections) {
    HttpServerOptions Options;
    Options.Address_ = "127.0.0.1:0";
    Options.IdleTimeout_ = IdleTimeout;
    Options.MaxConnections_ = MaxConnections;
    return Options;
  }

  tcp::socket connect() {
    tcp::socket Client(Context_);
    Client.connect(parseEndpoint(Server_.address()));
    Client.non_blocking(true);
    return Client;
  }

  void sendRequests() {
    for (tcp::socket &Client : Clients_)
      sendRequest(Client);
  }

  static void sendRequest(tcp::socket &Client, std::size_t HeaderBytes = 0,
                          std::size_t BodyBytes = 0) {
    const std::string Text =
        "POST / HTTP/1.1\r\nHost: h\r\nFiller: " +
        std::string(HeaderBytes, 'a') +
        "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" +
        std::string(BodyBytes, 'b');
    boost::asio::write(Client, boost::asio::buffer(Text));
  }

  /// Sends a request unless the server has closed the connection.
  static void trySendRequest(tcp::socket &Client) {
    const std::string Text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::system::error_code Ignored;
    Client.write_some(boost::asio::buffer(Text), Ignored);
  }

  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_.after(Span, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
  }

  /// Reads what has arrived. Returns the number of responses.
  std::size_t responses() {
    return static_cast<std::size_t>(
        std::count_if(Clients_.begin(), Clients_.end(),
                      [](tcp::socket &Client) { return hasResponse(Client); }));
  }

  static bool hasResponse(tcp::socket &Client) {
    return readResponse(Client).starts_with("HTTP/1.1 200");
  }

  static std::string readResponse(tcp::socket &Client) {
    std::string Text(4096, '\0');
    boost::system::error_code Failure;
    Text.resize(Client.read_some(boost::asio::buffer(Text), Failure));
    return Text;
  }

  void setLimits(std::size_t MaxHeaderBytes, std::size_t MaxBodyBytes) {
    HttpServerOptions Limits = options(HttpServerOptions().MaxConnections_);
    Limits.MaxHeaderBytes_ = MaxHeaderBytes;
    Limits.MaxBodyBytes_ = MaxBodyBytes;
    Server_.setLimits(Limits);
  }

  IoLoop Loop_;
  HttpServer Server_;
  boost::asio::io_context Context_;
  std::vector<tcp::socket> Clients_;
};

} // namespace

// A timeout that ran out while the loop stood still closed connections whose
// requests had arrived.
BOOST_AUTO_TEST_CASE(LateIdleTimeoutClosesConnectionsWithUnreadRequests) {
  constexpr std::size_t Count = 50;
  IdleConnections Test(Count);
  Test.sendRequests();
  std::this_thread::sleep_for(Pause);
  Test.runFor(TurnTime);
  BOOST_TEST(Test.responses() == Count);
}

// More requests than the loop takes from the kernel in one turn.
BOOST_AUTO_TEST_CASE(LateIdleTimeoutClosesSomeOfManyConnections) {
  constexpr std::size_t Count = 300;
  IdleConnections Test(Count);
  Test.sendRequests();
  std::this_thread::sleep_for(Pause);
  Test.runFor(TurnTime);
  BOOST_TEST(Test.responses() == Count);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsAreClosedInTime) {
  IdleConnections Test(1);
  Test.runFor(IdleTimeout + TurnTime);
  BOOST_TEST(Test.Server_.openConnections() == 0U);
}

// A connection above the limit closed the one that had waited longest, although
// its next request had arrived.
BOOST_AUTO_TEST_CASE(ConnectionAboveTheLimitClosesOneWithAnUnreadRequest) {
  constexpr std::size_t Max = 2;
  IdleConnections Test(Max, Max);
  IdleConnections::sendRequest(Test.Clients_.front());
  tcp::socket Added = Test.connect();
  IdleConnections::sendRequest(Added);
  Test.runFor(TurnTime);
  BOOST_TEST(IdleConnections::hasResponse(Test.Clients_.front()));
  BOOST_TEST(IdleConnections::hasResponse(Added));
}

// All connections have a request that has arrived: none of them is idle.
BOOST_AUTO_TEST_CASE(ConnectionAboveTheLimitIsClosedIfAllOthersHaveRequests) {
  constexpr std::size_t Max = 3;
  IdleConnections Test(Max, Max);
  tcp::socket Added = Test.connect();
  Test.sendRequests();
  Test.runFor(TurnTime);
  BOOST_TEST(Test.responses() == Max);
}

// Connections whose requests arrived while they were being closed stayed open
// above the limit.
BOOST_AUTO_TEST_CASE(ConnectionsExceedTheLimitWhileClientsSend) {
  constexpr std::size_t Max = 20;
  constexpr int Rounds = 20;
  IdleConnections Test(Max, Max);
  for (int Round = 0; Round < Rounds; ++Round) {
    for (std::size_t Added = 0; Added < 2 * Max; ++Added)
      Test.Clients_.push_back(Test.connect());
    std::thread Sender([&Test] {
      for (tcp::socket &Client : Test.Clients_)
        IdleConnections::trySendRequest(Client);
    });
    Test.runFor(milliseconds(10));
    Sender.join();
    BOOST_TEST(Test.Server_.openConnections() <= Max);
  }
}

// The connections that wait to be accepted need the places of idle ones.
BOOST_AUTO_TEST_CASE(DrainAtTheLimitRefusesWaitingConnections) {
  constexpr std::size_t Max = 3;
  IdleConnections Test(Max, Max);
  std::vector<tcp::socket> Waiting;
  for (std::size_t Added = 0; Added < Max; ++Added) {
    Waiting.push_back(Test.connect());
    IdleConnections::sendRequest(Waiting.back());
  }
  Test.Server_.drain();
  Test.runFor(TurnTime);
  for (tcp::socket &Client : Waiting)
    BOOST_TEST(IdleConnections::hasResponse(Client));
}

// The limits were those when a connection became idle.
BOOST_AUTO_TEST_CASE(HigherLimitsDoNotApplyToIdleConnections) {
  constexpr std::size_t OldLimit = 1024;
  constexpr std::size_t NewLimit = 8192;
  constexpr std::size_t Bytes = 4096;
  IdleConnections Test(0);
  Test.setLimits(OldLimit, OldLimit);
  Test.Clients_.push_back(Test.connect());
  Test.Clients_.push_back(Test.connect());
  Test.sendRequests();
  Test.runFor(TurnTime);
  BOOST_REQUIRE_EQUAL(Test.responses(), 2U);
  Test.setLimits(NewLimit, NewLimit);
  IdleConnections::sendRequest(Test.Clients_[0], Bytes, 0);
  IdleConnections::sendRequest(Test.Clients_[1], 0, Bytes);
  Test.runFor(TurnTime);
  BOOST_TEST(Test.responses() == 2U);
}

BOOST_AUTO_TEST_CASE(LowerLimitsDoNotApplyToIdleConnections) {
  constexpr std::size_t NewLimit = 1024;
  constexpr std::size_t Bytes = 4096;
  IdleConnections Test(2);
  Test.setLimits(NewLimit, NewLimit);
  IdleConnections::sendRequest(Test.Clients_[0], Bytes, 0);
  IdleConnections::sendRequest(Test.Clients_[1], 0, Bytes);
  Test.runFor(TurnTime);
  BOOST_TEST(IdleConnections::readResponse(Test.Clients_[0])
                 .starts_with("HTTP/1.1 431"));
  BOOST_TEST(IdleConnections::readResponse(Test.Clients_[1])
                 .starts_with("HTTP/1.1 413"));
}

} // namespace lagoonhitch

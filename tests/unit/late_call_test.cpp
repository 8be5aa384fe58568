/// \file
/// Tests what becomes of an HTTP client's calls whose timeouts expire while the
/// loop stands still.

#define BOOST_TEST_MODULE late_call
#include "net/http_client.h"
#include "net/io_loop.h"
#include "platform/monotonic_clock.h"
#include "tests/unit/scripted_server.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ConnectTimeout{100};
constexpr milliseconds CallTimeout{200};
/// How long the loop stands still.
constexpr milliseconds Pause{300};
/// Time for the client to handle what has arrived.
constexpr milliseconds TurnTime{50};

std::string responseOf(std::size_t BodyBytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) +
         "\r\n\r\n" + std::string(BodyBytes, 'a');
}

/// A client whose loop runs only when the test says so.
class StandingClient {
public:
  StandingClient() : Client_(Loop_, Time_, options()) {}

  static HttpClientOptions options() {
    HttpClientOptions Options;
    Options.ConnectTimeout_ = ConnectTimeout;
    return Options;
  }

  void send(const std::string &Address) {
    HttpCallOptions Call;
    Call.Timeout_ = CallTimeout;
    Call_ =
        Client_.send(Address, HttpRequest(), Call, [this](HttpResult Result) {
          Result_ = std::move(Result);
        });
  }

  void runFor(milliseconds Span) {
    const std::shared_ptr<void> End =
        Loop_.after(Span, [this] { Loop_.stop(); });
    Loop_.restart();
    Loop_.run();
  }

  bool isCompleted() const {
    return Result_ && Result_->Status_ == HttpCallStatus::Completed;
  }

  MonotonicClock Time_;
  IoLoop Loop_;
  HttpClient Client_;
  std::shared_ptr<void> Call_;
  std::optional<HttpResult> Result_;
};

} // namespace

// Else, a daemon that is late takes hosts for unreachable.
BOOST_AUTO_TEST_CASE(OpenConnectionOutlastsALateTimeout) {
  ScriptedServer Server({{responseOf(2)}});
  StandingClient Test;
  Test.send(Server.address());
  std::this_thread::sleep_for(Pause);
  Test.runFor(TurnTime);
  BOOST_TEST(Test.isCompleted());
}

BOOST_AUTO_TEST_CASE(ReceivedResponseOutlastsALateTimeout) {
  ScriptedServer Server({{responseOf(2)}});
  StandingClient Test;
  Test.send(Server.address());
  Test.runFor(milliseconds(2));
  std::this_thread::sleep_for(Pause);
  Test.runFor(TurnTime);
  BOOST_TEST(Test.isCompleted());
}

// It takes several reads.
BOOST_AUTO_TEST_CASE(LongReceivedResponseOutlastsALateTimeout) {
  constexpr std::size_t Bytes = 60000;
  ScriptedServer Server({{responseOf(Bytes)}});
  StandingClient Test;
  Test.send(Server.address());
  Test.runFor(milliseconds(2));
  std::this_thread::sleep_for(Pause);
  Test.runFor(TurnTime);
  BOOST_REQUIRE(Test.isCompleted());
  BOOST_TEST(Test.Result_->Response_.Body_.size() == Bytes);
}

BOOST_AUTO_TEST_CASE(PartOfAResponseTimesOut) {
  ScriptedServer Server({{responseOf(200).substr(0, 150)}});
  StandingClient Test;
  Test.send(Server.address());
  Test.runFor(milliseconds(2));
  std::this_thread::sleep_for(Pause);
  Test.runFor(TurnTime);
  BOOST_REQUIRE(Test.Result_);
  BOOST_TEST((Test.Result_->Status_ == HttpCallStatus::TimedOut));
}

BOOST_AUTO_TEST_CASE(CallWithoutResponseTimesOut) {
  ScriptedServer Server({});
  StandingClient Test;
  Test.send(Server.address());
  Test.runFor(CallTimeout - milliseconds(50));
  BOOST_TEST(!Test.Result_);
  Test.runFor(milliseconds(100));
  BOOST_REQUIRE(Test.Result_);
  BOOST_TEST((Test.Result_->Status_ == HttpCallStatus::TimedOut));
}

} // namespace lagoonhitch

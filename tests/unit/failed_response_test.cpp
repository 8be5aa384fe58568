/// \file
/// Tests of what a gateway learns from an upstream's failures.

#define BOOST_TEST_MODULE failed_response
#include "tests/unit/scripted_server.h"
#include "tests/unit/upstream_calls.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace lagoonhitch {

namespace {

std::string responseTo(const std::string &Id, const std::string &Status,
                       const std::string &Headers = "") {
  return "HTTP/1.1 " + Status + "\r\nX-Request-Id: " + Id + "\r\n" + Headers +
         "Content-Length: 0\r\n\r\n";
}

/// Sends requests, each of which gets the same response, and returns the
/// upstream's load afterwards.
LoadReport loadAfter(std::uint32_t Requests, const std::string &Status,
                     const std::string &Headers = "") {
  ScriptedServer::Responses Responses;
  for (std::uint32_t Number = 1; Number <= Requests; ++Number)
    Responses.push_back(responseTo(std::to_string(Number), Status, Headers));
  ScriptedServer Server({Responses});
  UpstreamCalls Calls(Server.address());
  for (std::uint32_t Number = 1; Number <= Requests; ++Number)
    Calls.serve(std::to_string(Number), Number);
  return Calls.load();
}

} // namespace

/// An upstream that answers 500 at once must not look fast: the failures would
/// attract further requests. Its processing time stays as it was before.
BOOST_AUTO_TEST_CASE(FailuresAreReportedAndAreNoProcessingTimes) {
  constexpr std::uint32_t Requests = 20;
  const LoadReport Failed = loadAfter(Requests, "500 Failed");
  BOOST_TEST(Failed.Work_.FailurePercent_ >= 80U);
  BOOST_TEST(Failed.ProcessingMillis_ == 200U);
  const LoadReport Succeeded =
      loadAfter(Requests, "200 OK", "X-Response-Signature: s\r\n");
  BOOST_TEST(Succeeded.Work_.FailurePercent_ == 0U);
  BOOST_TEST(Succeeded.ProcessingMillis_ < 150U);
}

/// A rejection says that the upstream is full, not that it fails.
BOOST_AUTO_TEST_CASE(RejectionsAreNoFailures) {
  BOOST_TEST(
      loadAfter(5, "503 Busy", "X-Not-Executed: 1\r\n").Work_.FailurePercent_ ==
      0U);
}

/// Connections that break while a request runs are failures.
BOOST_AUTO_TEST_CASE(BrokenConnectionsAreFailures) {
  constexpr int Connections = 8;
  ScriptedServer::Delivery Closing;
  Closing.CloseAtEnd_ = true;
  ScriptedServer Server(
      std::vector<ScriptedServer::Responses>(Connections, {"HTTP/1.1 200"}),
      Closing);
  UpstreamCalls Calls(Server.address());
  for (std::uint32_t Number = 1; Number <= Connections; ++Number)
    Calls.serve(std::to_string(Number), Number);
  BOOST_TEST(Calls.load().Work_.FailurePercent_ >= 80U);
}

} // namespace lagoonhitch

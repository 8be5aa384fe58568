/// \file
/// Tests that a rejection that an upstream writes twice counts only once.

#define BOOST_TEST_MODULE repeated_rejection
#include "tests/unit/scripted_server.h"
#include "tests/unit/upstream_calls.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <string>

namespace lagoonhitch {

namespace {

std::string responseTo(const std::string &Id, const std::string &Status,
                       const std::string &Headers = "") {
  return "HTTP/1.1 " + Status + "\r\nX-Request-Id: " + Id + "\r\n" + Headers +
         "Content-Length: 0\r\n\r\n";
}

std::string rejectionOf(const std::string &Id,
                        const std::string &Status = "503 Busy") {
  return responseTo(Id, Status, "X-Not-Executed: 1\r\n");
}

std::string successOf(const std::string &Id) {
  return responseTo(Id, "200 OK", "X-Response-Signature: s\r\n");
}

/// Sends a request and returns the status of its response; zero if there is
/// none.
unsigned statusOf(UpstreamCalls &Calls, const std::string &Id) {
  const HttpResult Result = Calls.send(Id);
  return Result.Status_ == HttpCallStatus::Completed ? Result.Response_.Status_
                                                     : 0;
}

} // namespace

/// The upstream writes the rejection of the first attempt once more while it
/// runs the second one, which has the same ID.
BOOST_AUTO_TEST_CASE(CopyOfARejectionIsNotTakenForTheResponseToTheNextAttempt) {
  for (const char *Status : {"503 Busy", "429 Busy", "421 Misdirected"}) {
    ScriptedServer Server({{rejectionOf("a", Status), rejectionOf("a", Status)},
                           {successOf("a")}});
    UpstreamCalls Calls(Server.address());
    BOOST_TEST((Calls.serve("a", 1).Outcome_ == Outcome::NotRun));
    BOOST_TEST((Calls.serve("a", 2).Outcome_ == Outcome::Ran));
  }
}

/// The same, after the connection has carried another request.
BOOST_AUTO_TEST_CASE(LateCopyOfARejectionIsNotTakenForTheNextAttempt) {
  ScriptedServer Server(
      {{rejectionOf("a"), successOf("b"), rejectionOf("a")}, {successOf("a")}});
  UpstreamCalls Calls(Server.address());
  BOOST_TEST(statusOf(Calls, "a") == 503U);
  BOOST_TEST(statusOf(Calls, "b") == 200U);
  BOOST_TEST(statusOf(Calls, "a") == 200U);
}

/// An upstream that is full must not get a new connection for each rejection.
BOOST_AUTO_TEST_CASE(ConnectionIsReusedForOtherRequestsAfterARejection) {
  ScriptedServer Server(
      {{rejectionOf("a"), rejectionOf("b"), rejectionOf("c"), successOf("d")}});
  UpstreamCalls Calls(Server.address());
  for (const char *Id : {"a", "b", "c"})
    BOOST_TEST(statusOf(Calls, Id) == 503U);
  BOOST_TEST(statusOf(Calls, "d") == 200U);
  BOOST_TEST(Server.acceptedConnections() == 1U);
}

/// The only connection that is allowed is one that the request can't use.
BOOST_AUTO_TEST_CASE(AttemptIsSentAtTheLimitOfConnections) {
  ScriptedServer Server({{rejectionOf("a")}, {successOf("a")}});
  UpstreamCalls Calls(Server.address());
  Calls.setMaxConnections(1);
  BOOST_TEST(statusOf(Calls, "a") == 503U);
  BOOST_TEST(statusOf(Calls, "a") == 200U);
  BOOST_TEST(Calls.openConnections() == 1U);
}

/// The IDs that a connection remembers are bounded. Once there are too many,
/// the connection is closed, so that no copy of an earlier rejection can count.
BOOST_AUTO_TEST_CASE(ConnectionEndsAfterManyRejections) {
  constexpr std::size_t Remembered = 32;
  ScriptedServer::Responses Rejections;
  for (std::size_t Number = 0; Number < Remembered; ++Number)
    Rejections.push_back(rejectionOf(std::to_string(Number)));
  Rejections.push_back(rejectionOf("0"));
  ScriptedServer Server({Rejections, {successOf("0")}});
  UpstreamCalls Calls(Server.address());
  for (std::size_t Number = 0; Number < Remembered; ++Number)
    BOOST_TEST(statusOf(Calls, std::to_string(Number)) == 503U);
  BOOST_TEST(Calls.openConnections() == 0U);
  BOOST_TEST(statusOf(Calls, "0") == 200U);
}

/// Health checks, grants and releases have no ID and use the same connections.
BOOST_AUTO_TEST_CASE(CopyOfARejectionIsNotTakenForTheResponseToACall) {
  const std::string WithoutId = "HTTP/1.1 400 Bad Request\r\n"
                                "X-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
  for (const std::string &Copy :
       {rejectionOf("a"), successOf("a"), WithoutId}) {
    ScriptedServer Server({{Copy == WithoutId ? successOf("a") : Copy, Copy}});
    UpstreamCalls Calls(Server.address());
    BOOST_TEST(statusOf(Calls, "a") != 0U);
    BOOST_TEST(statusOf(Calls, "") == 0U);
    BOOST_TEST(Calls.openConnections() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(ResponseWithoutIdIsTakenForTheResponseToACall) {
  ScriptedServer Server(
      {{successOf("a"), "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"}});
  UpstreamCalls Calls(Server.address());
  BOOST_TEST(statusOf(Calls, "a") == 200U);
  BOOST_TEST(statusOf(Calls, "") == 409U);
}

} // namespace lagoonhitch

/// \file
/// Tests which runs a gateway reports the work of.

#define BOOST_TEST_MODULE run_work
#include "tests/unit/scripted_server.h"
#include "tests/unit/upstream_calls.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace lagoonhitch {

namespace {

/// Makes each run take some time.
ScriptedServer::Delivery slowDelivery() {
  ScriptedServer::Delivery Delivery;
  Delivery.PieceBytes_ = 40;
  Delivery.Pause_ = std::chrono::milliseconds(10);
  return Delivery;
}

std::string responseTo(const std::string &Id, const std::string &Status,
                       const std::string &Load) {
  return "HTTP/1.1 " + Status + "\r\nX-Request-Id: " + Id +
         "\r\nX-Response-Signature: s\r\n" +
         (Load.empty() ? "" : "X-Server-Load: " + Load + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

} // namespace

/// Without a slowdown the unit of the work would differ from upstream to
/// upstream, so results must not contain it.
BOOST_AUTO_TEST_CASE(ReportsTheWorkOfRunsIfTheUpstreamReportsItsSlowdown) {
  ScriptedServer Server(
      {{responseTo("a", "200 OK", ""), responseTo("b", "200 OK", "1,0,4,99999"),
        responseTo("c", "200 OK", "1,0,4,200"),
        responseTo("d", "200 OK", "1,0,4,200")}},
      slowDelivery());
  UpstreamCalls Calls(Server.address());
  BOOST_TEST(!Calls.serve("a", 1).RunWorkMillis_.has_value());
  BOOST_TEST(!Calls.serve("b", 2).RunWorkMillis_.has_value());
  BOOST_TEST(Calls.serve("c", 3).RunWorkMillis_.value_or(0) > 0U);
  BOOST_TEST(Calls.serve("d", 4).RunWorkMillis_.value_or(0) > 0U);
}

/// An upstream that fails at once must not make the requests of a class seem
/// short.
BOOST_AUTO_TEST_CASE(FailedRunsAreNoSamples) {
  ScriptedServer Server({{responseTo("a", "200 OK", "1,0,4,100"),
                          responseTo("b", "500 Error", "1,0,4,100"),
                          responseTo("c", "404 Not Found", "1,0,4,100")}},
                        slowDelivery());
  UpstreamCalls Calls(Server.address());
  BOOST_TEST(Calls.serve("a", 1).RunWorkMillis_.has_value());
  const GatewayResult Failed = Calls.serve("b", 2);
  BOOST_TEST((Failed.Outcome_ == Outcome::Ran));
  BOOST_TEST(!Failed.RunWorkMillis_.has_value());
  BOOST_TEST(Calls.serve("c", 3).RunWorkMillis_.has_value());
}

} // namespace lagoonhitch

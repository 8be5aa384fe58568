/// \file
/// Tests that a response whose status HTTP does not define is passed on to
/// nobody.

#define BOOST_TEST_MODULE response_status
#include "tests/unit/endless_server.h"
#include "tests/unit/upstream_calls.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

namespace lagoonhitch {

namespace {

namespace data = boost::unit_test::data;

/// Returns a complete response that looks genuine but for its status.
ServerScript responseWith(const std::string &Status) {
  return {"HTTP/1.1 " + Status +
              " X\r\nX-Request-Id: a\r\nX-Response-Signature: s\r\n"
              "Content-Length: 2\r\n\r\nok",
          ""};
}

} // namespace

/// The upstream may have run the request, so its outcome is unknown: a request
/// that is not idempotent must not be sent again.
BOOST_DATA_TEST_CASE(UndefinedStatusIsPassedOn,
                     data::make({"000", "001", "099", "600", "999"}), Status) {
  const EndlessServer Server(responseWith(Status));
  UpstreamCalls Calls(Server.address());
  const GatewayResult Result = Calls.serve("a", 1);
  BOOST_TEST((Result.Outcome_ == Outcome::Unknown));
  BOOST_TEST(Calls.openConnections() == 0U);
}

/// A rejection counts only in a response that HTTP defines.
BOOST_AUTO_TEST_CASE(RejectionWithAnUndefinedStatusCounts) {
  const EndlessServer Server(
      {"HTTP/1.1 000 X\r\nX-Request-Id: a\r\nX-Not-Executed: 1\r\n"
       "Content-Length: 0\r\n\r\n",
       ""});
  UpstreamCalls Calls(Server.address());
  BOOST_TEST((Calls.serve("a", 1).Outcome_ == Outcome::Unknown));
}

BOOST_DATA_TEST_CASE(DefinedStatusIsRejected,
                     data::make({"200", "299", "302", "404", "500", "599"}),
                     Status) {
  const EndlessServer Server(responseWith(Status));
  UpstreamCalls Calls(Server.address());
  const GatewayResult Result = Calls.serve("a", 1);
  BOOST_TEST((Result.Outcome_ == Outcome::Ran));
  BOOST_TEST(std::to_string(Result.Response_.Status_) == Status);
}

} // namespace lagoonhitch

/// \file
/// Tests of the event loop.

#define BOOST_TEST_MODULE io_loop
#include "net/io_loop.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>
#include <string>

namespace lagoonhitch {

/// One unexpected error must not end the process.
BOOST_AUTO_TEST_CASE(ContinuesAfterATaskThatThrows) {
  std::string Error;
  IoLoop Loop(
      [&Error](const std::exception &Failure) { Error = Failure.what(); });
  bool Continued = false;
  Loop.post([] { throw std::runtime_error("unexpected"); });
  Loop.post([&Continued, &Loop] {
    Continued = true;
    Loop.stop();
  });
  Loop.run();
  BOOST_TEST(Error == "unexpected");
  BOOST_TEST(Continued);
}

BOOST_AUTO_TEST_CASE(ThrowsWithoutAnErrorHandler) {
  IoLoop Loop;
  Loop.post([] { throw std::runtime_error("unexpected"); });
  BOOST_CHECK_THROW(Loop.run(), std::runtime_error);
}

} // namespace lagoonhitch

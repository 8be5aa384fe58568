/// \file
/// Tests a daemon whose upstream sends bytes without end instead of responses.

#define BOOST_TEST_MODULE endless_response
#include "tests/process/process_usage.h"
#include "tests/process/site_fixture.h"
#include "tests/unit/endless_server.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host of the service that is not sharded. Callers use its daemon.
constexpr std::uint32_t FaultyHost = 1;

} // namespace

/// Every call must end, a response must come from a real upstream, calls must
/// succeed again once the daemon has given up its upstream, and the daemon must
/// keep running within the memory of the smallest hosts.
BOOST_DATA_TEST_CASE(
    UpstreamSendsBytesWithoutEnd,
    boost::unit_test::data::make(
        {"HTTP/1.1 200 OK\r\n\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
         "\r\n4;",
         "HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n"
         "\r\nabcd",
         "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000"
         "\r\n\r\nabcd"}),
    Head) {
  constexpr std::size_t MemoryLimit = std::size_t{160} * 1024;
  SiteFixture Fixture;
  ChildProcess &Upstream = Fixture.Site_.upstream(FaultyHost);
  Upstream.signal(SIGKILL);
  Upstream.wait();
  const EndlessServer Faulty({Head, std::string(65536, 'a')},
                             Fixture.Site_.upstreamAddress(FaultyHost));
  Fixture.startLoad();
  sleepFor(seconds(6));
  Fixture.finishAndCheck();
  BOOST_TEST(Faulty.sentBytes() > 0U);
  const std::string FaultyName = "pruf-h" + std::to_string(FaultyHost) + "-1";
  for (const LoadGenerator::Call &Call : Fixture.Load_->calls()) {
    BOOST_TEST(Call.Instance_ != FaultyName);
    if (Call.Outcome_ == Outcome::Ran)
      BOOST_TEST(!Call.Instance_.empty());
  }
  BOOST_TEST(Fixture.countRecentlyFailed(milliseconds(500)) == 0U);
  BOOST_TEST(!Fixture.Site_.status(FaultyHost).is_null());
  const std::size_t Memory = peakMemory(Fixture.Site_.daemon(FaultyHost).id());
  BOOST_TEST(Memory > 0U);
  BOOST_TEST(Memory < MemoryLimit);
  BOOST_TEST_MESSAGE("peak memory of the daemon: " << Memory << " KB");
}

} // namespace lagoonhitch

/// \file
/// Tests that an entry daemon keeps waiting for an attempt whose own connection
/// works while status queries, which need new connections, fail.

#define BOOST_TEST_MODULE status_query
#include "tests/process/site_fixture.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

/// Makes new connections between daemons fail while requests run, and checks
/// that all of these are answered by their upstreams.
void failConnectionsDuringRuns(milliseconds RunTime,
                               const std::function<void(TcpRelay &)> &Fail) {
  SiteOptions Options;
  Options.UseRelays_ = true;
  SiteFixture Fixture(Options);
  Fixture.startLoad();
  const std::int64_t RunMicros =
      std::chrono::duration_cast<std::chrono::microseconds>(RunTime).count();
  for (std::uint32_t Host = 0; Host < Options.Hosts_; ++Host)
    Fixture.Site_.setUpstreamMode(Host, {{"service_us", RunMicros}});
  sleepFor(milliseconds(100));
  for (std::uint32_t Host = 0; Host < Options.Hosts_; ++Host)
    Fail(Fixture.Site_.relay(Host));
  Fixture.finishAndCheck();
  Fixture.checkAllRan();
}

} // namespace

BOOST_AUTO_TEST_CASE(RunningRequestsOutlastStatusQueriesThatCannotBeSent) {
  failConnectionsDuringRuns(milliseconds(1500),
                            [](TcpRelay &Relay) { Relay.refuseConnections(); });
}

BOOST_AUTO_TEST_CASE(RunningRequestsOutlastStatusQueriesWithoutResponse) {
  failConnectionsDuringRuns(milliseconds(3000),
                            [](TcpRelay &Relay) { Relay.ignoreConnections(); });
}

} // namespace lagoonhitch

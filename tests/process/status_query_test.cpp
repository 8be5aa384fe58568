/// \file
/// Tests that an entry daemon keeps waiting for an attempt whose own connection
/// works, whatever status queries on new connections find meanwhile.

#define BOOST_TEST_MODULE status_query
#include "tests/process/site_fixture.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
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

/// Makes the responses on open connections between daemons slower than those to
/// status queries, and checks that all calls are answered by their first run.
void delayAnswers(milliseconds Delay, const LoadGeneratorOptions &Load) {
  SiteOptions Options;
  Options.UseRelays_ = true;
  SiteFixture Fixture(Options);
  Fixture.startLoad(Load);
  sleepFor(milliseconds(1000));
  // Later rounds delay the connections that status queries have opened.
  for (int Round = 0; Round < 3; ++Round) {
    for (std::uint32_t Host = 0; Host < Options.Hosts_; ++Host)
      Fixture.Site_.relay(Host).delayResponses(Delay);
    sleepFor(milliseconds(1000));
  }
  Fixture.finishAndCheck();
  Fixture.checkAllRan();
  Fixture.checkEachRanOnce();
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

BOOST_AUTO_TEST_CASE(AnswersThatStatusRepliesOvertakeAreDelivered) {
  delayAnswers(milliseconds(700), LoadGeneratorOptions());
}

/// Each answer arrives in about five parts, the last of them after two seconds.
BOOST_AUTO_TEST_CASE(AnswersThatArriveSlowlyAreDelivered) {
  LoadGeneratorOptions Load;
  Load.MinBodyBytes_ = std::size_t{64} * 1024;
  delayAnswers(milliseconds(400), Load);
}

} // namespace lagoonhitch

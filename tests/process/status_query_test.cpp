/// \file
/// Tests that an entry daemon keeps waiting for an attempt whose own connection
/// works, whatever status queries on new connections find meanwhile.

#define BOOST_TEST_MODULE status_query
#include "net/blocking_http.h"
#include "tests/process/site_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <future>

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
  // Callers send GET requests with a key to host 1, which owns no keys.
  const std::vector<LoadGenerator::Call> &Calls = Fixture.Load_->calls();
  BOOST_TEST(std::any_of(Calls.begin(), Calls.end(),
                         [RunTime](const LoadGenerator::Call &Call) {
                           return Call.Instance_.starts_with("katalog") &&
                                  !Call.Target_.ends_with("/orders") &&
                                  Call.AnsweredAt_ - Call.SentAt_ >= RunTime;
                         }));
}

/// Sends a request for a key of `katalog` to host 1.
HttpResult sendToHost1(const SiteFixture &Fixture, const char *Method,
                       const std::string &Path) {
  HttpRequest Request;
  Request.Method_ = Method;
  Request.Target_ = "/katalog/" + Path;
  return callBlocking(Fixture.Time_, Fixture.Site_.callersAddress(1),
                      std::move(Request), std::chrono::seconds(6));
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

/// Once a status query has failed, other idle connections to that host may be
/// dead as well. A request that is not idempotent must not be lost on one.
BOOST_AUTO_TEST_CASE(FailedStatusQueryClosesIdleConnections) {
  SiteOptions Options;
  Options.UseRelays_ = true;
  SiteFixture Fixture(Options);
  Fixture.startLoad();
  Fixture.Load_->finish();
  const std::uint32_t Owner = Fixture.Site_.ownerOf(1, "k1");
  Fixture.Site_.relay(Owner).dropTraffic();
  Fixture.Site_.relay(Owner).refuseConnections();
  const std::future<HttpResult> Lost =
      std::async(std::launch::async,
                 [&Fixture] { return sendToHost1(Fixture, "GET", "k1"); });
  sleepFor(milliseconds(900));
  const HttpResult Next = sendToHost1(Fixture, "POST", "k1/orders");
  const std::string *Reported =
      findHeader(Next.Response_.Headers_, "Lagoonhitch-Outcome");
  BOOST_REQUIRE(Reported != nullptr);
  BOOST_TEST(*Reported == outcomeName(Outcome::NotRun));
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

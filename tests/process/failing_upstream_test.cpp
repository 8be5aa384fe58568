/// \file
/// Tests that an upstream which fails all requests at once, while its health
/// check passes, gets few requests until it works again.

#define BOOST_TEST_MODULE failing_upstream
#include "tests/process/site_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Host of an upstream of the service without keys, which has three.
constexpr std::uint32_t FailingHost = 3;
/// Time in which all entry daemons have seen failures.
constexpr milliseconds DetectionTime{1500};

/// Returns the number of calls sent between two times that an upstream failed.
std::size_t countErrors(const SiteFixture &Fixture, Instant From, Instant To) {
  constexpr unsigned InternalError = 500;
  const std::vector<LoadGenerator::Call> &Calls = Fixture.Load_->calls();
  return static_cast<std::size_t>(std::count_if(
      Calls.begin(), Calls.end(), [&](const LoadGenerator::Call &Call) {
        return Call.SentAt_ >= From && Call.SentAt_ < To &&
               Call.Status_ == InternalError;
      }));
}

} // namespace

/// Without avoidance the upstream, which is idle, attracts more requests than
/// the others, and all that can't be repeated fail.
BOOST_AUTO_TEST_CASE(FailingUpstreamGetsFewRequestsUntilItRecovers) {
  SiteOptions Options;
  Options.ServiceTimeMicros_ = 50000;
  SiteFixture Fixture(Options);
  LoadGeneratorOptions Load;
  Load.Workers_ = 48;
  Fixture.startLoad(Load);
  Fixture.Site_.setUpstreamMode(FailingHost, {{"fails_at_once", true}});
  const Instant AvoidedAt = Fixture.Time_.now() + DetectionTime;
  sleepFor(DetectionTime + seconds(4));
  const Instant RecoveredAt = Fixture.Time_.now();
  Fixture.Site_.setUpstreamMode(FailingHost, {{"fails_at_once", false}});
  sleepFor(seconds(8));
  const Instant UsedAt = Fixture.Time_.now();
  sleepFor(seconds(2));
  Fixture.finishAndCheck();
  const std::size_t WhileFailing = Fixture.countRuns(FailingHost, AvoidedAt) -
                                   Fixture.countRuns(FailingHost, RecoveredAt);
  // At most three probes a second, and what each entry daemon has saved up.
  BOOST_TEST(WhileFailing <= 16U);
  BOOST_TEST(countErrors(Fixture, AvoidedAt, RecoveredAt) <= 16U);
  // Far more than probes.
  BOOST_TEST(Fixture.countRuns(FailingHost, UsedAt) >= 20U);
}

} // namespace lagoonhitch

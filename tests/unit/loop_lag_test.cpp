/// \file
/// Tests that lateness of the serving loop is measured and reported.

#define BOOST_TEST_MODULE loop_lag
#include "daemon/loop_lag.h"

#include <boost/test/unit_test.hpp>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Interval{50};

} // namespace

BOOST_AUTO_TEST_CASE(TimersInTimeAreNotReported) {
  LoopLag Lag;
  Instant Now;
  for (int Tick = 0; Tick < 100; ++Tick) {
    BOOST_TEST(!measureLag(Lag, Interval, Now).has_value());
    BOOST_TEST(toMillis(Lag.Last_).count() == 0);
    Now += Interval;
  }
}

BOOST_AUTO_TEST_CASE(HighestLagIsReportedOncePerSecond) {
  LoopLag Lag;
  Instant Now;
  BOOST_TEST(!measureLag(Lag, Interval, Now).has_value());
  Now += Interval + milliseconds(300);
  const std::optional<Duration> First = measureLag(Lag, Interval, Now);
  BOOST_REQUIRE(First.has_value());
  BOOST_TEST(toMillis(*First).count() == 300);
  Now += Interval + milliseconds(400);
  BOOST_TEST(!measureLag(Lag, Interval, Now).has_value());
  Now += Interval + milliseconds(700);
  const std::optional<Duration> Second = measureLag(Lag, Interval, Now);
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(toMillis(*Second).count() == 700);
}

BOOST_AUTO_TEST_CASE(LoopIsBusyForAWhileAfterALag) {
  LoopLag Lag;
  Instant Now;
  measureLag(Lag, Interval, Now);
  BOOST_TEST(!isBusy(Lag, Now));
  Now += Interval + milliseconds(60);
  measureLag(Lag, Interval, Now);
  BOOST_TEST(isBusy(Lag, Now));
  BOOST_TEST(isBusy(Lag, Now + milliseconds(1900)));
  BOOST_TEST(!isBusy(Lag, Now + milliseconds(2000)));
}

} // namespace lagoonhitch

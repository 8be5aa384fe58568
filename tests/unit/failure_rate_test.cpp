/// \file
/// Tests of the share of failed requests that a gateway reports.

#define BOOST_TEST_MODULE failure_rate
#include "limits/failure_rate.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

const Instant Start{std::chrono::hours(1)};

/// An upstream whose requests end at a constant rate.
struct Upstream {
  FailureRate Rate_;
  Instant Now_ = Start;

  void end(int Requests, milliseconds Interval, bool Failed) {
    for (int Request = 0; Request < Requests; ++Request) {
      Now_ += Interval;
      addRequestEnd(Rate_, Failed, FailureRateOptions(), Now_);
    }
  }

  std::uint32_t percent() const {
    return failurePercent(Rate_, FailureRateOptions(), Now_);
  }
};

RequestEnd answered(unsigned Status, milliseconds TimeLeft) {
  return {RequestEnd::Kind::Answered, Status, TimeLeft};
}

} // namespace

/// A busy upstream that had only successes must not need more than about ten
/// failures to be recognised: with 500 requests/s, a rate over seconds would
/// take a thousand.
BOOST_AUTO_TEST_CASE(ReactsWithinTenRequestsAtAnyRate) {
  for (const milliseconds Interval :
       {milliseconds(2), milliseconds(50), milliseconds(300)}) {
    Upstream Tested;
    Tested.end(100, Interval, false);
    BOOST_TEST(Tested.percent() == 0U);
    Tested.end(10, Interval, true);
    BOOST_TEST(Tested.percent() >= 60U);
    Tested.end(20, Interval, true);
    BOOST_TEST(Tested.percent() >= 90U);
  }
}

/// An upstream that gets only probes, two in a second, must count as recovered
/// within a few seconds.
BOOST_AUTO_TEST_CASE(RecoversWithinSecondsOfFewRequests) {
  Upstream Tested;
  Tested.end(100, milliseconds(10), true);
  Tested.end(10, milliseconds(500), true);
  BOOST_TEST(Tested.percent() >= 90U);
  Tested.end(8, milliseconds(500), false);
  BOOST_TEST(Tested.percent() <= 15U);
}

/// Without any request, the rate must fall, or an upstream that nobody probes
/// would be avoided for ever.
BOOST_AUTO_TEST_CASE(FallsWithoutRequests) {
  Upstream Tested;
  Tested.end(100, milliseconds(10), true);
  Tested.Now_ += std::chrono::seconds(10);
  BOOST_TEST(Tested.percent() <= 15U);
}

/// One failure of an upstream with hardly any requests is no evidence.
BOOST_AUTO_TEST_CASE(SingleFailureWeighsLittle) {
  Upstream Tested;
  Tested.end(1, milliseconds(10), true);
  BOOST_TEST(Tested.percent() <= 25U);
}

BOOST_AUTO_TEST_CASE(FollowsAPartialRate) {
  Upstream Tested;
  std::uint32_t Sum = 0;
  constexpr std::uint32_t Rounds = 100;
  for (std::uint32_t Round = 0; Round < Rounds; ++Round) {
    Tested.end(1, milliseconds(10), true);
    Tested.end(1, milliseconds(10), false);
    Sum += Tested.percent();
  }
  BOOST_TEST(Sum / Rounds >= 40U);
  BOOST_TEST(Sum / Rounds <= 60U);
}

/// A clock reading that is not newer must not change what was counted.
BOOST_AUTO_TEST_CASE(KeepsItsStateAtAnEarlierTime) {
  Upstream Tested;
  Tested.end(20, milliseconds(10), true);
  Tested.Now_ = Start;
  BOOST_TEST(Tested.percent() <= 100U);
  BOOST_TEST(Tested.percent() >= 80U);
}

BOOST_AUTO_TEST_CASE(CountsOnlyTheUpstreamsOwnFailures) {
  constexpr milliseconds Plenty{1000};
  BOOST_TEST((isOwnFailure(answered(200, Plenty)) == false));
  BOOST_TEST((isOwnFailure(answered(404, Plenty)) == false));
  for (const unsigned Status : {500U, 502U, 503U, 504U, 599U})
    BOOST_TEST((isOwnFailure(answered(Status, Plenty)) == true));
  BOOST_TEST((isOwnFailure({RequestEnd::Kind::Broken, 0, Plenty}) == true));
  BOOST_TEST(
      (isOwnFailure({RequestEnd::Kind::Other, 0, Plenty}) == std::nullopt));
  // The caller's time was too short.
  BOOST_TEST((isOwnFailure(answered(504, milliseconds(10))) == std::nullopt));
  BOOST_TEST((isOwnFailure(answered(500, milliseconds(10))) == true));
}

} // namespace lagoonhitch

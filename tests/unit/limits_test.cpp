/// \file
/// Tests of the admission control and the retry budget that the benches use as
/// a baseline.

#define BOOST_TEST_MODULE limits
#include "bench/baseline/admission.h"
#include "bench/baseline/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

Instant at(int Millis) { return Instant(milliseconds(100000 + Millis)); }

Admission warmUpstream() {
  Admission State;
  resetAdmission(State, 18, 130, {});
  State.Limit_ = 18;
  State.AverageLatency_ = milliseconds(5);
  return State;
}

} // namespace

BOOST_AUTO_TEST_CASE(RaisesTheLimitOfAColdUpstreamAfterGoodAnswers) {
  Admission State;
  resetAdmission(State, 18, 130, {});
  BOOST_TEST((admit(State, 1, Priority::Normal, at(1000), {}, at(0)) ==
              AdmitResult::Admitted));
  BOOST_TEST((admit(State, 2, Priority::Normal, at(1000), {}, at(0)) ==
              AdmitResult::Admitted));
  BOOST_TEST((admit(State, 3, Priority::Normal, at(1000), {}, at(0)) ==
              AdmitResult::Queued));
  complete(State, UpstreamOutcome::Success, milliseconds(5), {}, at(5));
  BOOST_TEST(advanceQueue(State, at(5)).Started_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DetectsAColdUpstreamWithinFiveAnswers) {
  Admission State = warmUpstream();
  const AdmissionOptions Options;
  for (RequestNumber Id = 1; Id <= 18; ++Id)
    admit(State, Id, Priority::Normal, at(9000), Options, at(0));
  int Answers = 0;
  while (!complete(State, UpstreamOutcome::Shed, milliseconds(5), Options,
                   at(++Answers)))
    BOOST_REQUIRE(Answers < 5);
  BOOST_TEST(State.Limit_ <= Options.ColdLimit_);
}

BOOST_AUTO_TEST_CASE(ShedsRequestsThatCannotMeetTheirDeadline) {
  Admission State = warmUpstream();
  BOOST_TEST(
      (admit(State, 1, Priority::High, at(3), {}, at(0)) == AdmitResult::Shed));
}

BOOST_AUTO_TEST_CASE(StartsHigherPriorityFirst) {
  Admission State = warmUpstream();
  State.Limit_ = 1;
  const AdmissionOptions Options;
  admit(State, 1, Priority::Low, at(9000), Options, at(0));
  admit(State, 2, Priority::Low, at(9000), Options, at(0));
  admit(State, 3, Priority::High, at(9000), Options, at(0));
  complete(State, UpstreamOutcome::Failed, milliseconds(5), Options, at(5));
  const AdvanceResult Change = advanceQueue(State, at(5));
  BOOST_REQUIRE(Change.Started_.size() == 1U);
  BOOST_TEST(Change.Started_[0] == 3U);
}

/// For any sequence of events, no more requests than the limit are admitted,
/// and the limit exceeds neither the upstream's slots nor its connections.
RC_BOOST_PROP(NeverExceedsTheLimit, ()) {
  const std::uint32_t Slots = *rc::gen::inRange<std::uint32_t>(1, 20);
  const std::uint32_t Connections = *rc::gen::inRange<std::uint32_t>(1, 20);
  const AdmissionOptions Options;
  Admission State;
  resetAdmission(State, Slots, Connections, Options);
  RequestNumber Next = 0;
  int Now = 0;
  for (int Step = 0; Step < 80; ++Step) {
    Now += *rc::gen::inRange(0, 5);
    const std::uint32_t Before = State.InFlight_;
    if (*rc::gen::arbitrary<bool>() || Before == 0) {
      admit(State, ++Next, static_cast<Priority>(*rc::gen::inRange(0, 3)),
            at(Now + *rc::gen::inRange(1, 100)), Options, at(Now));
    } else {
      complete(State,
               *rc::gen::element(UpstreamOutcome::Success,
                                 UpstreamOutcome::Shed,
                                 UpstreamOutcome::Failed),
               milliseconds(*rc::gen::inRange(1, 100)), Options, at(Now));
      advanceQueue(State, at(Now));
    }
    RC_ASSERT(State.Limit_ <= std::min(Slots, Connections));
    RC_ASSERT(State.InFlight_ <= Before ||
              State.InFlight_ <= static_cast<std::uint32_t>(State.Limit_));
  }
}

/// The number of retries never exceeds the earned percentage of the traffic.
RC_BOOST_PROP(NeverOverdrawsTheRetryBudget, ()) {
  RetryBudget Budget;
  std::uint64_t Earned = 0;
  std::uint64_t Spent = 0;
  for (int Step = 0; Step < 500; ++Step) {
    if (*rc::gen::arbitrary<bool>()) {
      addRetryTokens(Budget, 10);
      ++Earned;
    } else if (spendRetryTokens(Budget)) {
      ++Spent;
    }
    RC_ASSERT(Spent * 100 <= Earned * 10);
  }
}

} // namespace lagoonhitch

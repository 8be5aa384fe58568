/// \file
/// Random faults against the decisions about requests.

#define BOOST_TEST_MODULE request_schedule
#include "tests/history/checker.h"
#include "tests/schedule/request_world.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace lagoonhitch {

namespace {

RequestFaults anyFaults() {
  RequestFaults Faults;
  Faults.LostForwards_ = *rc::gen::inRange(0, 30);
  Faults.LateForwards_ = *rc::gen::inRange(0, 40);
  Faults.LostAnswers_ = *rc::gen::inRange(0, 30);
  Faults.LateAnswers_ = *rc::gen::inRange(0, 40);
  Faults.BrokenLinks_ = *rc::gen::inRange(0, 30);
  Faults.FailedLookUps_ = *rc::gen::inRange(0, 60);
  Faults.Restarts_ = *rc::gen::inRange(0, 6);
  Faults.Moves_ = *rc::gen::inRange(0, 20);
  return Faults;
}

} // namespace

RC_BOOST_PROP(EveryOutcomeIsTrue, ()) {
  const std::uint64_t Seed = *rc::gen::arbitrary<std::uint32_t>();
  RequestWorld World(Seed, anyFaults());
  World.run(200, 3000);
  const Violations Found = checkAll(World.history());
  for (const std::string &One : Found)
    RC_LOG() << One << "\n";
  RC_ASSERT(Found.empty());
  RC_ASSERT(World.openCalls() == 0U);
}

/// Without faults of owners, a broken or silent link costs no call its
/// outcome.
RC_BOOST_PROP(LinkFaultsAloneLeaveNothingUnknown, ()) {
  RequestFaults Faults;
  Faults.LostAnswers_ = *rc::gen::inRange(0, 30);
  Faults.LostForwards_ = *rc::gen::inRange(0, 30);
  Faults.BrokenLinks_ = *rc::gen::inRange(0, 30);
  RequestWorld World(*rc::gen::arbitrary<std::uint32_t>(), Faults);
  World.run(100, 2000);
  for (const History::Answered &One : World.history().Answers_)
    RC_ASSERT(One.Outcome_ == Outcome::Ran);
}

} // namespace lagoonhitch

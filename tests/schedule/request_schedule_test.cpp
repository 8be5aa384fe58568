/// \file
/// Random schedules of faults against the decisions about requests.

#define BOOST_TEST_MODULE request_schedule
#include "tests/schedule/request_simulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace lagoonhitch {

namespace {

constexpr int CallCount = 40;

int anyPercent(int Most) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, Most));
}

RequestFaults anyFaults() {
  RequestFaults Faults;
  Faults.LostConnections_ = anyPercent(70);
  Faults.LateArrivals_ = anyPercent(100);
  Faults.Refusals_ = anyPercent(60);
  Faults.Restarts_ = anyPercent(30);
  Faults.Idempotent_ = anyPercent(100);
  return Faults;
}

} // namespace

RC_BOOST_PROP(PromisesHoldUnderAnyFaults, ()) {
  const std::uint64_t Seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
  RequestWorld World(Seed, anyFaults());
  World.run(CallCount);
  RC_ASSERT(World.broken() == std::vector<std::string>());
}

BOOST_AUTO_TEST_CASE(CalmCallsAllRun) {
  RequestWorld World(3, RequestFaults());
  World.run(CallCount);
  BOOST_TEST(World.ended(Outcome::Ran) == static_cast<std::size_t>(CallCount));
}

/// A broken connection alone leaves nothing in doubt: the door is asked.
BOOST_AUTO_TEST_CASE(LostConnectionsLoseNoCall) {
  RequestFaults Faults;
  Faults.LostConnections_ = 40;
  Faults.LateArrivals_ = 30;
  RequestWorld World(3, Faults);
  World.run(CallCount);
  BOOST_TEST(World.ended(Outcome::Unknown) == 0U);
  BOOST_TEST(World.broken().empty());
}

} // namespace lagoonhitch

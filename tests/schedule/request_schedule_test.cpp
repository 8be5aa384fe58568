/// \file
/// Runs the decisions about request routing and retries under random faults.

#define BOOST_TEST_MODULE request_schedule
#include "tests/schedule/request_simulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace lagoonhitch {

namespace {

constexpr int CallCount = 40;

int arbitraryPercent(int Limit) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, Limit));
}

RequestFaults arbitraryFaults() {
  RequestFaults Faults;
  Faults.LostConnectionPercent_ = arbitraryPercent(70);
  Faults.LateArrivalPercent_ = arbitraryPercent(100);
  Faults.RejectionPercent_ = arbitraryPercent(60);
  Faults.RestartPercent_ = arbitraryPercent(30);
  Faults.IdempotentPercent_ = arbitraryPercent(100);
  return Faults;
}

} // namespace

RC_BOOST_PROP(GuaranteesHoldUnderAnyFaults, ()) {
  const std::uint64_t Seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
  RequestSimulation Simulation(Seed, arbitraryFaults());
  Simulation.run(CallCount);
  RC_ASSERT(Simulation.violations() == std::vector<std::string>());
}

BOOST_AUTO_TEST_CASE(AllCallsRunWithoutFaults) {
  RequestSimulation Simulation(3, RequestFaults());
  Simulation.run(CallCount);
  BOOST_TEST(Simulation.countOutcome(Outcome::Ran) ==
             static_cast<std::size_t>(CallCount));
}

/// Lost connections alone must not make an outcome unknown, since the entry
/// daemon looks up the attempt's status at the gateway.
BOOST_AUTO_TEST_CASE(LostConnectionsLeaveNoUnknownOutcome) {
  RequestFaults Faults;
  Faults.LostConnectionPercent_ = 40;
  Faults.LateArrivalPercent_ = 30;
  RequestSimulation Simulation(3, Faults);
  Simulation.run(CallCount);
  BOOST_TEST(Simulation.countOutcome(Outcome::Unknown) == 0U);
  BOOST_TEST(Simulation.violations().empty());
}

} // namespace lagoonhitch

/// \file
/// Tests the phases of a graceful shutdown.

#define BOOST_TEST_MODULE shutdown
#include "daemon/shutdown_plan.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{50};
constexpr milliseconds Limit{5500};

const Instant Start{std::chrono::hours(1)};

/// Runs a shutdown with a constant load and returns how long it took.
Duration runShutdown(const ShutdownLoad &Load) {
  ShutdownPlan Plan = startShutdownPlan(Start, Start, Limit);
  Instant Now = Start;
  while (Plan.Phase_ != ShutdownPhase::Stopped) {
    Now += TickInterval;
    advanceShutdown(Plan, Load, Now);
  }
  return Now - Start;
}

} // namespace

BOOST_AUTO_TEST_CASE(PhasesFollowEachOther) {
  ShutdownPlan Plan = startShutdownPlan(Start, Start, Limit);
  const ShutdownLoad Busy = {1, 3};
  const ShutdownLoad Idle = {0, 3};
  BOOST_TEST(!advanceShutdown(Plan, Idle, Start + milliseconds(2250)));
  BOOST_TEST(advanceShutdown(Plan, Busy, Start + milliseconds(2300)));
  BOOST_TEST((Plan.Phase_ == ShutdownPhase::Draining));
  BOOST_TEST(!advanceShutdown(Plan, Busy, Start + milliseconds(2800)));
  BOOST_TEST(advanceShutdown(Plan, Idle, Start + milliseconds(2850)));
  BOOST_TEST((Plan.Phase_ == ShutdownPhase::Reporting));
  BOOST_TEST(!advanceShutdown(Plan, Idle, Start + milliseconds(3200)));
  BOOST_TEST(advanceShutdown(Plan, Idle, Start + milliseconds(3250)));
  BOOST_TEST((Plan.Phase_ == ShutdownPhase::Lingering));
}

/// A request that a peer has sent on an open connection may arrive hundreds of
/// milliseconds later. The process must not end before it can be answered.
BOOST_AUTO_TEST_CASE(WaitsForRequestsOnTheirWayFromPeers) {
  BOOST_TEST((runShutdown({0, 1}) >= milliseconds(3000)));
  BOOST_TEST((runShutdown({0, 1}) <= milliseconds(3300)));
}

BOOST_AUTO_TEST_CASE(EndsSoonWithoutConnectionsOfPeers) {
  BOOST_TEST((runShutdown({0, 0}) <= milliseconds(2900)));
}

/// A daemon that was busy must still reject what arrives, and respond to what
/// is open, before it ends.
BOOST_AUTO_TEST_CASE(LateDaemonSkipsPhases) {
  for (const milliseconds Late :
       {milliseconds(3100), milliseconds(5350), milliseconds(8000)}) {
    ShutdownPlan Plan = startShutdownPlan(Start, Start + Late, Limit);
    std::vector<ShutdownPhase> Entered;
    for (Instant Now = Start + Late; Plan.Phase_ != ShutdownPhase::Stopped;
         Now += TickInterval)
      if (advanceShutdown(Plan, {1, 1}, Now))
        Entered.push_back(Plan.Phase_);
    const std::vector<ShutdownPhase> Expected = {
        ShutdownPhase::Draining, ShutdownPhase::Ending, ShutdownPhase::Stopped};
    BOOST_TEST((Entered == Expected));
  }
}

/// The same if one turn of the loop passes the last phase.
BOOST_AUTO_TEST_CASE(LateTurnSkipsTheLastPhase) {
  ShutdownPlan Plan = startShutdownPlan(Start, Start, Limit);
  advanceShutdown(Plan, {1, 1}, Start + milliseconds(2300));
  BOOST_TEST(advanceShutdown(Plan, {1, 1}, Start + milliseconds(5600)));
  BOOST_TEST((Plan.Phase_ == ShutdownPhase::Ending));
}

/// The process is killed some time after the limit.
BOOST_AUTO_TEST_CASE(EndsAtTheLimitWhateverIsOpen) {
  BOOST_TEST((runShutdown({2, 2}) == Limit));
}

/// Responses that are written in the last moment must leave before the process
/// ends.
BOOST_AUTO_TEST_CASE(OpenRequestsEndBeforeTheLimit) {
  ShutdownPlan Plan = startShutdownPlan(Start, Start, Limit);
  const ShutdownLoad Busy = {1, 0};
  advanceShutdown(Plan, Busy, Start + milliseconds(2300));
  BOOST_TEST(!advanceShutdown(Plan, Busy, Start + milliseconds(5250)));
  BOOST_TEST(advanceShutdown(Plan, Busy, Start + milliseconds(5300)));
  BOOST_TEST((Plan.Phase_ == ShutdownPhase::Ending));
  BOOST_TEST(!advanceShutdown(Plan, Busy, Start + milliseconds(5350)));
  BOOST_TEST(advanceShutdown(Plan, {0, 0}, Start + milliseconds(5400)));
  BOOST_TEST((Plan.Phase_ == ShutdownPhase::Stopped));
}

} // namespace lagoonhitch

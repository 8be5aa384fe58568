/// \file
/// Random schedules of faults against the control decisions.

#define BOOST_TEST_MODULE control_schedule
#include "tests/history/checker.h"
#include "tests/schedule/control_world.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace lagoonhitch {

namespace {

constexpr std::uint32_t NodeCount = 6;
constexpr std::uint32_t ShardCount = 6;

/// A world in which all daemons have joined and all shards are served.
const ControlWorld &startedWorld() {
  static const ControlWorld Started = [] {
    ControlWorld World(NodeCount, ShardCount);
    World.seed(1);
    World.run(std::chrono::seconds(6));
    BOOST_REQUIRE(World.servedShards() == ShardCount);
    return World;
  }();
  return Started;
}

rc::Gen<Fault> anyFault(int LatestMillis) {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::Kind_,
                   rc::gen::map(rc::gen::inRange(0, FaultKindCount),
                                [](int Number) {
                                  return static_cast<FaultKind>(Number);
                                })),
      rc::gen::set(&Fault::At_, rc::gen::map(rc::gen::inRange(0, LatestMillis),
                                             [](int Millis) {
                                               return std::chrono::milliseconds(
                                                   Millis);
                                             })),
      rc::gen::set(&Fault::Length_,
                   rc::gen::map(rc::gen::inRange(10, 4000),
                                [](int Millis) {
                                  return std::chrono::milliseconds(Millis);
                                })),
      rc::gen::set(&Fault::Node_,
                   rc::gen::inRange<std::uint32_t>(0, NodeCount)));
}

/// A fault near a moment, on one daemon or those that its lease depends on.
rc::Gen<Fault> focusedFault(std::uint32_t Focus) {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::Kind_,
                   rc::gen::map(rc::gen::inRange(0, FaultKindCount),
                                [](int Number) {
                                  return static_cast<FaultKind>(Number);
                                })),
      rc::gen::set(&Fault::Role_,
                   rc::gen::map(rc::gen::inRange(0, FaultRoleCount),
                                [](int Number) {
                                  return static_cast<FaultRole>(Number);
                                })),
      rc::gen::set(&Fault::Choice_, rc::gen::inRange<std::uint32_t>(0, 6)),
      rc::gen::set(&Fault::At_, rc::gen::map(rc::gen::inRange(0, 1500),
                                             [](int Millis) {
                                               return std::chrono::milliseconds(
                                                   Millis);
                                             })),
      rc::gen::set(&Fault::Length_,
                   rc::gen::map(rc::gen::inRange(100, 6000),
                                [](int Millis) {
                                  return std::chrono::milliseconds(Millis);
                                })),
      rc::gen::set(&Fault::Node_, rc::gen::just(Focus)));
}

void requireSound(ControlWorld &World) {
  const Violations Found = checkAll(World.takeHistory());
  for (const std::string &One : Found)
    RC_LOG() << One << "\n";
  if (!Found.empty())
    RC_LOG() << World.describe();
  RC_ASSERT(Found.empty());
}

} // namespace

void showValue(const Fault &One, std::ostream &Out) {
  Out << "{kind " << static_cast<int>(One.Kind_) << " node " << One.Node_
      << " at " << One.At_.count() << " for " << One.Length_.count() << "}";
}

RC_BOOST_PROP(SafetyHolds, ()) {
  ControlWorld World = startedWorld();
  const std::uint64_t Seed = *rc::gen::arbitrary<std::uint32_t>();
  const std::vector<Fault> Faults = *rc::gen::resize(
      8, rc::gen::container<std::vector<Fault>>(anyFault(6000)));
  World.seed(Seed);
  for (const Fault &One : Faults)
    World.schedule(One);
  World.run(std::chrono::milliseconds(9000));
  requireSound(World);
}

RC_BOOST_PROP(SafetyHoldsAroundOneLease, ()) {
  ControlWorld World = startedWorld();
  const std::uint64_t Seed = *rc::gen::arbitrary<std::uint32_t>();
  const std::uint32_t Focus = *rc::gen::inRange<std::uint32_t>(0, NodeCount);
  const std::vector<Fault> Faults = *rc::gen::resize(
      10, rc::gen::container<std::vector<Fault>>(focusedFault(Focus)));
  World.seed(Seed);
  for (const Fault &One : Faults)
    World.schedule(One);
  World.run(std::chrono::milliseconds(9000));
  requireSound(World);
}

/// Any single fault, at any moment, leaves no shard unserved for long.
RC_BOOST_PROP(OneFaultIsHealed, ()) {
  ControlWorld World = startedWorld();
  const std::uint64_t Seed = *rc::gen::arbitrary<std::uint32_t>();
  const Fault One = *anyFault(2000);
  World.seed(Seed);
  World.schedule(One);
  World.run(std::chrono::milliseconds(14000));
  if (World.servedShards() != ShardCount)
    RC_LOG() << World.describe();
  RC_ASSERT(World.servedShards() == ShardCount);
}

/// A key is served again within 2 s of the loss of its owner.
RC_BOOST_PROP(LossIsServedWithinTwoSeconds, ()) {
  ControlWorld World = startedWorld();
  const std::uint64_t Seed = *rc::gen::arbitrary<std::uint32_t>();
  Fault Loss = *anyFault(2000);
  Loss.Kind_ = FaultKind::Restart;
  Loss.Length_ = std::chrono::seconds(60);
  Fault LogFault;
  LogFault.Kind_ =
      *rc::gen::arbitrary<bool>() ? FaultKind::LogDown : FaultKind::LogSlow;
  LogFault.At_ = std::chrono::milliseconds(1);
  LogFault.Length_ = *rc::gen::element(std::chrono::milliseconds(0),
                                       std::chrono::milliseconds(8000));
  World.seed(Seed);
  World.schedule(LogFault);
  World.schedule(Loss);
  World.run(std::chrono::milliseconds(7000));
  RC_LOG() << "longest gap " << World.longestGap().count() << " ms\n"
           << World.describe();
  RC_ASSERT(World.longestGap() <= std::chrono::milliseconds(2000));
}

} // namespace lagoonhitch

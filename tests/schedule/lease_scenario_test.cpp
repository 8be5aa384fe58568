/// \file
/// The ways in which two owners could slip in, one schedule each. All of them
/// are seen to fail on a version of the code without the rule they test.

#define BOOST_TEST_MODULE lease_scenario
#include "tests/history/checker.h"
#include "tests/schedule/control_world.h"

#include <boost/test/unit_test.hpp>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *ServiceName = "katalog";
constexpr seconds Long{60};

/// Six daemons; one of them, its heir and a third one have parts to play.
struct Stage {
  Stage() : World_(6, 6) {
    World_.seed(1);
    World_.run(seconds(6));
    BOOST_REQUIRE(World_.servedShards() == 6U);
    const Table &Known = World_.freshestTable();
    for (const auto &[Id, One] : Known.Members_)
      if (ownedShards(Known, Id) > 0 && Owner_ == NoMember)
        Owner_ = Id;
    OwnerNode_ = World_.nodeOf(Owner_);
    HeirNode_ = World_.nodeOf(owner().Seats_.Heir_);
    for (const auto &[Id, One] : Known.Members_)
      if (Id != Owner_ && Id != owner().Seats_.Heir_)
        Third_ = Id;
    Moved_ = firstShardOf(Owner_);
  }

  const Member &owner() const {
    return *findMember(World_.freshestTable(), Owner_);
  }

  ShardId firstShardOf(MemberId Id) const {
    const std::vector<Shard> &Shards =
        World_.freshestTable().Services_.at(ServiceName);
    ShardId First = 0;
    while (Shards[First].Owner_ != Id)
      ++First;
    return First;
  }

  void planMove(MemberId Target) {
    Record::Plan Plan;
    Plan.PlanVersion_ = World_.freshestTable().PlanVersion_;
    Plan.Moves_.push_back({ServiceName, Moved_, Target});
    World_.append(Plan);
  }

  void planSeats(const std::vector<MemberId> &Witnesses) {
    Record::Plan Plan;
    Plan.PlanVersion_ = World_.freshestTable().PlanVersion_;
    SeatSet Seats = owner().Seats_;
    ++Seats.Epoch_;
    Seats.Witnesses_ = Witnesses;
    Plan.Seats_.push_back({Owner_, Seats});
    World_.append(Plan);
  }

  std::vector<MemberId> othersThanWitnesses() const {
    std::vector<MemberId> Others;
    const std::vector<MemberId> &Seated = owner().Seats_.Witnesses_;
    for (const auto &[Id, One] : World_.freshestTable().Members_)
      if (Id != Owner_ &&
          std::find(Seated.begin(), Seated.end(), Id) == Seated.end())
        Others.push_back(Id);
    // An odd number, as the planner would choose.
    Others.resize(1);
    return Others;
  }

  bool logHasRelease() const {
    return std::any_of(
        World_.log().begin(), World_.log().end(), [this](const auto &Entry) {
          const auto *Body = std::get_if<Record::Release>(&Entry.second.Body_);
          return Body != nullptr && Body->Owner_ == Owner_;
        });
  }

  void suspectRepeatedly(seconds Span) {
    const MemberId Heir = World_.state(HeirNode_).Self_;
    for (milliseconds Passed{0}; Passed < Span; Passed += milliseconds(100)) {
      LeaseMessage Hint;
      Hint.From_ = Third_;
      Hint.To_ = Heir;
      Hint.Body_ = LeaseMessage::Suspect{Owner_};
      World_.inject(Hint);
      World_.run(milliseconds(100));
    }
  }

  void requireSound() {
    const Violations Found = checkAll(World_.takeHistory());
    for (const std::string &One : Found)
      BOOST_TEST_MESSAGE(One);
    BOOST_TEST(Found.empty());
  }

  ControlWorld World_;
  MemberId Owner_ = NoMember;
  MemberId Third_ = NoMember;
  std::size_t OwnerNode_ = 0;
  std::size_t HeirNode_ = 0;
  ShardId Moved_ = 0;
};

} // namespace

/// The heir has not read that the lost owner had released a shard.
BOOST_AUTO_TEST_CASE(ReleasedThenLost) {
  Stage Play;
  Play.World_.cutFromLog(Play.HeirNode_, Long);
  Play.planMove(Play.Third_);
  const auto Released = [&Play] {
    const Shard *One =
        findShard(Play.World_.freshestTable(), ServiceName, Play.Moved_);
    return One->Owner_ == Play.Third_ &&
           Play.World_.state(Play.OwnerNode_).ReleaseFloor_ > 0;
  };
  BOOST_REQUIRE(Play.World_.runUntil(Released, seconds(3)));
  Play.World_.run(milliseconds(700));
  Play.World_.lose(Play.OwnerNode_);
  Play.World_.run(seconds(5));
  Play.requireSound();
}

/// The owner is lost right after its release has landed in the log, before
/// it could tell a newer floor.
BOOST_AUTO_TEST_CASE(LostBeforeReleaseIsReadBack) {
  Stage Play;
  Play.World_.cutFromLog(Play.HeirNode_, Long);
  Play.planMove(Play.Third_);
  BOOST_REQUIRE(Play.World_.runUntil([&Play] { return Play.logHasRelease(); },
                                     seconds(3)));
  Play.World_.lose(Play.OwnerNode_);
  Play.World_.run(seconds(5));
  Play.requireSound();
}

/// Old witnesses no longer hear the owner; an heir that is behind asks them.
BOOST_AUTO_TEST_CASE(SeatsChangedBehindHeir) {
  Stage Play;
  Play.World_.cutFromLog(Play.HeirNode_, Long);
  const std::uint64_t Epoch = Play.owner().Seats_.Epoch_;
  Play.planSeats(Play.othersThanWitnesses());
  const auto Changed = [&Play, Epoch] {
    return Play.owner().Seats_.Epoch_ > Epoch && !Play.owner().OldSeats_;
  };
  BOOST_REQUIRE(Play.World_.runUntil(Changed, seconds(3)));
  Play.suspectRepeatedly(seconds(5));
  Play.requireSound();
}

/// The owner has not read of its new witnesses, which therefore never hear
/// it; an heir that is up to date asks them.
BOOST_AUTO_TEST_CASE(SeatsChangedBehindOwner) {
  Stage Play;
  Play.World_.cutFromLog(Play.OwnerNode_, Long);
  Play.planSeats(Play.othersThanWitnesses());
  Play.suspectRepeatedly(seconds(5));
  Play.requireSound();
}

/// A daemon without witnesses has not read that it got some.
BOOST_AUTO_TEST_CASE(FirstSeatsBehindOwner) {
  ControlWorld World(6, 6);
  World.seed(2);
  for (std::size_t Node = 1; Node < 6; ++Node)
    World.pause(Node, seconds(5));
  BOOST_REQUIRE(World.runUntil([&World] { return World.servedShards() == 6U; },
                               seconds(5)));
  World.cutFromLog(0, Long);
  World.run(seconds(12));
  const Violations Found = checkAll(World.takeHistory());
  BOOST_TEST(Found.empty());
}

/// A release that the witnesses do not know of must not reach the log.
BOOST_AUTO_TEST_CASE(MoveAgainstTakeover) {
  Stage Play;
  Play.World_.cutFromLog(Play.HeirNode_, Long);
  for (MemberId Witness : Play.owner().Seats_.Witnesses_)
    Play.World_.cutLink(Play.OwnerNode_, Play.World_.nodeOf(Witness), Long);
  Play.planMove(Play.Third_);
  Play.World_.run(seconds(5));
  Play.requireSound();
}

/// An owner that has lost its witnesses must not leave its shards to the
/// planner while its heir may serve them.
BOOST_AUTO_TEST_CASE(ResignationAgainstHeir) {
  Stage Play;
  Play.World_.cutFromLog(Play.HeirNode_, Long);
  for (MemberId Witness : Play.owner().Seats_.Witnesses_)
    Play.World_.cutLink(Play.OwnerNode_, Play.World_.nodeOf(Witness), Long);
  Play.World_.run(seconds(9));
  Play.requireSound();
}

/// A move whose plan was read is finished although the log goes down.
BOOST_AUTO_TEST_CASE(MoveGoesOnWithoutLog) {
  Stage Play;
  Play.planMove(Play.Third_);
  const std::size_t ThirdNode = Play.World_.nodeOf(Play.Third_);
  const auto BothRead = [&Play, ThirdNode] {
    const Offset End = Play.World_.log().size();
    return tableOf(Play.World_.state(Play.OwnerNode_)).Next_ == End &&
           tableOf(Play.World_.state(ThirdNode)).Next_ == End;
  };
  BOOST_REQUIRE(Play.World_.runUntil(BothRead, seconds(3)));
  Fault Outage;
  Outage.Kind_ = FaultKind::LogDown;
  Outage.Length_ = Long;
  Play.World_.schedule(Outage);
  Play.World_.run(seconds(4));
  BOOST_TEST(Play.World_.servedShards() == 6U);
  // The old owner is lost too: its heir must leave the shard alone.
  Play.World_.lose(Play.OwnerNode_);
  Play.World_.run(seconds(4));
  BOOST_TEST(Play.World_.servedShards() == 6U);
  Play.World_.run(seconds(60));
  BOOST_TEST(Play.World_.servedShards() == 6U);
  Play.requireSound();
}

} // namespace lagoonhitch

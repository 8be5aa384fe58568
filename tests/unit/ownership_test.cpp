/// \file
/// Records, the planner and readers that start at a checkpoint.

#define BOOST_TEST_MODULE ownership
#include "core/error.h"
#include "ownership/apply.h"
#include "ownership/planner.h"
#include "ownership/record_json.h"
#include "ownership/stream_reader.h"
#include "tests/schedule/control_world.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cmath>

namespace lagoonhitch {

namespace {

constexpr const char *ServiceName = "katalog";

/// Members with ids 1, 2, ... that all serve and hold a settled lease.
Table tableWith(const std::vector<std::uint32_t> &Slots,
                std::uint32_t ShardCount) {
  Table State;
  for (std::size_t Index = 0; Index < Slots.size(); ++Index) {
    Member One;
    One.Id_ = Index + 1;
    One.Nonce_ = Index + 100;
    One.Slots_[ServiceName] = Slots[Index];
    One.Seats_.Epoch_ = 1;
    One.Seats_.Witnesses_ = {(Index + 1) % Slots.size() + 1};
    State.Members_[One.Id_] = One;
  }
  State.Services_[ServiceName].resize(ShardCount);
  State.Next_ = Slots.size() + 1;
  return State;
}

PlanOptions optionsFor(std::uint32_t ShardCount) {
  PlanOptions Options;
  Options.Services_ = {{ServiceName, ShardCount}};
  return Options;
}

bool applyBody(Table &State, Record::Body Body) {
  Record Entry;
  Entry.Body_ = std::move(Body);
  return apply(State, Entry, State.Next_);
}

/// Applies plans and releases until nothing is left to plan.
/// \returns the number of shards that changed their owner.
std::size_t settle(Table &State, const PlanOptions &Options) {
  std::size_t Moved = 0;
  for (int Round = 0; Round < 2000; ++Round) {
    const Record::Plan Plan = planShards(State, Options);
    if (Plan.Moves_.empty() && Plan.Defines_.empty())
      return Moved;
    Moved += Plan.Moves_.size();
    applyBody(State, Plan);
    std::map<MemberId, Record::Release> Releases;
    const std::vector<Shard> &Shards = State.Services_[ServiceName];
    for (ShardId Id = 0; Id < Shards.size(); ++Id)
      if (Shards[Id].Owner_ != NoMember && Shards[Id].Target_ != NoMember)
        Releases[Shards[Id].Owner_].Shards_.push_back(
            {ServiceName, Id, Shards[Id].Token_});
    for (auto &[Owner, Release] : Releases) {
      Release.Owner_ = Owner;
      applyBody(State, Release);
    }
  }
  BOOST_FAIL("the planner does not come to rest");
  return Moved;
}

} // namespace

BOOST_AUTO_TEST_CASE(StalePlanIsVoid) {
  Table State = tableWith({4, 4}, 8);
  Record::Plan Plan = planShards(State, optionsFor(8));
  BOOST_TEST(applyBody(State, Plan));
  BOOST_TEST(!applyBody(State, Plan));
}

BOOST_AUTO_TEST_CASE(LateUpdateIsVoid) {
  Table State = tableWith({4}, 1);
  BOOST_TEST(applyBody(State, Record::Update{1, 2, {{ServiceName, 9}}, false}));
  BOOST_TEST(!applyBody(State, Record::Update{1, 1, {{ServiceName, 4}}, true}));
  BOOST_TEST(State.Members_[1].Slots_[ServiceName] == 9U);
}

BOOST_AUTO_TEST_CASE(LateReleaseIsVoid) {
  Table State = tableWith({4, 4}, 1);
  State.Services_[ServiceName][0] = {1, 5, 2};
  const Record::Release Release{1, {{ServiceName, 0, 5}}};
  BOOST_TEST(applyBody(State, Release));
  State.Services_[ServiceName][0] = {1, 7, 2};
  BOOST_TEST(!applyBody(State, Release));
}

BOOST_AUTO_TEST_CASE(LeaveOfOtherEpochIsVoid) {
  Table State = tableWith({4, 4}, 1);
  BOOST_TEST(!applyBody(State, Record::Leave{1, 0, {}}));
  BOOST_TEST(applyBody(State, Record::Leave{1, 1, {}}));
}

/// A member that leaves may have had successors that the log never saw; the
/// next owner's token exceeds theirs.
BOOST_AUTO_TEST_CASE(LeavingSkipsTokens) {
  constexpr Token MostSuccessors = 1000;
  Table State = tableWith({4, 4}, 1);
  State.Services_[ServiceName][0] = {1, 5, NoMember};
  BOOST_TEST(applyBody(State, Record::Leave{1, 1, {}}));
  BOOST_TEST(State.Services_[ServiceName][0].Token_ > 5 + MostSuccessors);
}

BOOST_AUTO_TEST_CASE(RepeatedJoinIsVoid) {
  Table State = tableWith({4}, 1);
  Member Joining;
  Joining.Nonce_ = 100;
  BOOST_TEST(!applyBody(State, Record::Join{Joining}));
}

BOOST_AUTO_TEST_CASE(MalformedRecordIsRefused) {
  BOOST_CHECK_THROW(decodeRecord("{"), Error);
  BOOST_CHECK_THROW(decodeRecord(R"({"id":"a","by":"","why":"","at_ms":0,)"
                                 R"("kind":"nonsense","body":{}})"),
                    Error);
}

/// Each member gets its part by slots, within the tolerance.
RC_BOOST_PROP(QuotasFollowSlots, ()) {
  const std::vector<std::uint32_t> Slots =
      *rc::gen::container<std::vector<std::uint32_t>>(
          *rc::gen::inRange<std::size_t>(1, 20),
          rc::gen::inRange<std::uint32_t>(1, 40));
  const std::uint32_t ShardCount = *rc::gen::inRange<std::uint32_t>(1, 400);
  Table State = tableWith(Slots, ShardCount);
  settle(State, optionsFor(ShardCount));
  double Total = 0;
  for (std::uint32_t One : Slots)
    Total += One;
  for (std::size_t Index = 0; Index < Slots.size(); ++Index) {
    const double Quota = ShardCount * Slots[Index] / Total;
    const double Owned = static_cast<double>(ownedShards(State, Index + 1));
    RC_ASSERT(Owned <= std::ceil(Quota) + std::max(1.0, Quota * 0.05));
  }
}

/// A member that leaves costs no more moves than it had shards.
RC_BOOST_PROP(LeavingMovesOnlyItsOwn, ()) {
  const std::uint32_t ShardCount = *rc::gen::inRange<std::uint32_t>(10, 400);
  const std::size_t Count = *rc::gen::inRange<std::size_t>(3, 12);
  Table State = tableWith(std::vector<std::uint32_t>(Count, 4), ShardCount);
  settle(State, optionsFor(ShardCount));
  const std::size_t Had = ownedShards(State, 1);
  applyBody(State, Record::Update{1, 1, {{ServiceName, 4}}, true});
  const std::size_t Moved = settle(State, optionsFor(ShardCount));
  RC_ASSERT(ownedShards(State, 1) == 0U);
  RC_ASSERT(static_cast<double>(Moved) <= static_cast<double>(Had) * 1.1);
}

/// A plan is a function of its inputs, and never exceeds the moves in flight.
RC_BOOST_PROP(PlansAreRepeatableAndBounded, ()) {
  const std::uint32_t ShardCount = *rc::gen::inRange<std::uint32_t>(1, 300);
  Table State = tableWith({4, 4, 8}, ShardCount);
  const PlanOptions Options = optionsFor(ShardCount);
  for (Shard &One : State.Services_[ServiceName])
    One = {*rc::gen::inRange<MemberId>(1, 4), 1, NoMember};
  const Record::Plan First = planShards(State, Options);
  const Record::Plan Second = planShards(State, Options);
  Record A;
  A.Body_ = First;
  Record B;
  B.Body_ = Second;
  RC_ASSERT(encodeRecord(A) == encodeRecord(B));
  RC_ASSERT(First.Moves_.size() <= Options.MaxMovesInFlight_);
}

/// A reader that starts at any checkpoint holds the same table as one that
/// has read everything.
RC_BOOST_PROP(CheckpointReadersAgree, ()) {
  static const ControlWorld Started = [] {
    ControlWorld World(6, 6);
    World.seed(3);
    World.schedule({FaultKind::Restart, std::chrono::milliseconds(4000),
                    std::chrono::milliseconds(500), 2});
    World.schedule({FaultKind::Leave, std::chrono::milliseconds(7000),
                    std::chrono::milliseconds(2000), 4});
    World.run(std::chrono::seconds(16));
    return World;
  }();
  const std::vector<std::pair<Offset, Record>> &Log = Started.log();
  StreamReader Whole;
  noteFirstOffset(Whole, 0);
  for (const auto &[At, Entry] : Log)
    feed(Whole, At, decodeRecord(encodeRecord(Entry)));
  const Offset Start = *rc::gen::inRange<Offset>(0, Log.size());
  StreamReader Late;
  noteFirstOffset(Late, Start);
  for (Offset At = Start; At < Log.size(); ++At)
    feed(Late, At, decodeRecord(encodeRecord(Log[At].second)));
  RC_CLASSIFY(Late.Synced_ && Start > 0, "started at a checkpoint");
  if (Late.Synced_)
    RC_ASSERT(Late.Table_ == Whole.Table_);
}

} // namespace lagoonhitch

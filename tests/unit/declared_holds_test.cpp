/// \file
/// Tests of keys that are granted in the replies to heartbeats.

#define BOOST_TEST_MODULE declared_holds
#include "ownership/declared_holds.h"
#include "ownership/key_ownership.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{std::chrono::hours(1)};

KeyRow ownRow(const KeyRange &Range, FencingToken Fence) {
  KeyRow Row;
  Row.Range_ = Range;
  Row.Owner_ = {"h0", "up", 7, 1};
  Row.Fence_ = Fence;
  Row.Handover_ = "before";
  return Row;
}

/// Gives a host a lease, and an upstream that is to hold some rows.
void startWithRows(KeyOwnershipState &State, const std::vector<KeyRow> &Rows) {
  State.Host_ = "h0";
  State.GrantMethod_ = GrantMethod::HeartbeatReplies;
  State.EpochAcknowledged_ = true;
  State.LeaseUntil_ = Start + State.Options_.Lease_;
  KeyTable Table;
  Table.Rows_ = Rows;
  Table.Offset_ = 0;
  onTable(State, Table, 1, Start);
  State.EpochAcknowledged_ = true;
  State.Epoch_ = 1;
  LocalUpstream Upstream;
  Upstream.Id_ = "up";
  Upstream.StartMillis_ = 7;
  Upstream.State_ = LocalUpstream::State::Serving;
  onUpstream(State, Upstream);
}

/// A host with a lease whose upstream is to hold some rows.
KeyOwnershipState makeState(const std::vector<KeyRow> &Rows) {
  KeyOwnershipState State;
  startWithRows(State, Rows);
  return State;
}

KeyOwnershipState twoRows() {
  return makeState({ownRow({0, 99}, 3), ownRow({100, 199}, 5)});
}

void startMoveOf(KeyOwnershipState &State, const KeyRange &Range,
                 FencingToken Fence) {
  KeyMove Move;
  Move.Range_ = Range;
  Move.Fence_ = Fence;
  Move.StartedAt_ = Start;
  State.Moves_.push_back(Move);
  State.MoveTargets_[Range.First_] = "h1";
  onUpstream(State, State.Upstream_);
}

HoldReport reportOf(const std::vector<ReportedHold> &Holds) {
  HoldReport Report;
  Report.Holds_ = Holds;
  return Report;
}

} // namespace

BOOST_AUTO_TEST_CASE(DeclaresAllRowsAndServesThem) {
  KeyOwnershipState State = twoRows();
  BOOST_TEST(!canServeKey(State, 50, Start));
  BOOST_TEST(needsDeclaration(State, Start));
  const auto Declaration = declareHolds(State, Start, Start);
  BOOST_REQUIRE(Declaration.has_value());
  BOOST_TEST(Declaration->Rows_.size() == 2U);
  BOOST_TEST(Declaration->Rows_[0].Handover_ == "before");
  BOOST_TEST((Declaration->Hold_ == State.Options_.DeclaredHold_));
  BOOST_TEST(canServeKey(State, 50, Start + milliseconds(3900)));
  BOOST_TEST(!canServeKey(State, 50, Start + milliseconds(4100)));
  BOOST_TEST(!needsDeclaration(State, Start));
}

/// The handover is needed once; repeating it would make replies too large.
BOOST_AUTO_TEST_CASE(DeclaresAcceptedRowsWithoutTheirHandover) {
  KeyOwnershipState State = twoRows();
  declareHolds(State, Start, Start);
  onHoldReport(State, reportOf({{{0, 99}, 3}}));
  const auto Declaration = declareHolds(State, Start, Start);
  BOOST_REQUIRE(Declaration.has_value());
  BOOST_TEST(Declaration->Rows_[0].Handover_ == "");
  BOOST_TEST(Declaration->Rows_[1].Handover_ == "before");
}

BOOST_AUTO_TEST_CASE(ChangesNothingWithoutALease) {
  KeyOwnershipState State = twoRows();
  State.EpochAcknowledged_ = false;
  BOOST_TEST(!declareHolds(State, Start, Start).has_value());
  BOOST_TEST(!needsDeclaration(State, Start));
}

/// A restarted daemon has a new epoch, which the table lacks at first. An empty
/// declaration would make the upstream release its keys.
BOOST_AUTO_TEST_CASE(RestartedDaemonLetsTheUpstreamKeepItsKeys) {
  KeyOwnershipState State = twoRows();
  State.Epoch_ = 2;
  onUpstream(State, State.Upstream_);
  BOOST_TEST(!declareHolds(State, Start, Start).has_value());
}

BOOST_AUTO_TEST_CASE(HoldEndsBeforeTheLease) {
  KeyOwnershipState State = twoRows();
  const Instant Late = State.LeaseUntil_ - milliseconds(1000);
  const auto Declaration = declareHolds(State, Late, Late);
  BOOST_REQUIRE(Declaration.has_value());
  BOOST_TEST((Late + Declaration->Hold_ * 102 / 100 < State.LeaseUntil_));
}

BOOST_AUTO_TEST_CASE(ServesMovingKeysUntilTheReleaseIsDeclared) {
  KeyOwnershipState State = twoRows();
  declareHolds(State, Start, Start);
  startMoveOf(State, {50, 99}, 3);
  BOOST_TEST(canServeKey(State, 60, Start));
  BOOST_TEST(needsDeclaration(State, Start));
  const auto Declaration = declareHolds(State, Start, Start);
  BOOST_REQUIRE(Declaration.has_value());
  BOOST_TEST(!canServeKey(State, 60, Start));
  BOOST_TEST(canServeKey(State, 40, Start));
  for (const KeyRow &Row : Declaration->Rows_)
    BOOST_TEST(!overlaps(Row.Range_, KeyRange{50, 99}));
}

/// The upstream may still receive an earlier reply that declares the keys, as
/// long as it accepts that reply.
BOOST_AUTO_TEST_CASE(ReleasedKeysAreFreeWhenEarlierRepliesAreIgnored) {
  KeyOwnershipState State = twoRows();
  declareHolds(State, Start, Start);
  startMoveOf(State, {50, 99}, 3);
  declareHolds(State, Start + milliseconds(300), Start + milliseconds(300));
  HoldReport Report = reportOf({{{0, 49}, 3}, {{50, 99}, 3}, {{100, 199}, 5}});
  onHoldReport(State, Report);
  BOOST_TEST((State.Moves_[0].Phase_ == KeyMove::Phase::Releasing));
  Report = reportOf({{{0, 49}, 3}, {{100, 199}, 5}});
  Report.Releases_ = {{{50, 99}, "after"}};
  onHoldReport(State, Report);
  BOOST_REQUIRE(State.Moves_.size() == 1U);
  BOOST_TEST((State.Moves_[0].Phase_ == KeyMove::Phase::Released));
  BOOST_TEST(State.Moves_[0].Handover_ == "after");
  BOOST_TEST((State.Moves_[0].SafeAt_ >= Start + milliseconds(1020)));
  BOOST_TEST((State.Moves_[0].SafeAt_ <= Start + milliseconds(1200)));
}

/// Parts of a move that are released one after the other have a handover each.
BOOST_AUTO_TEST_CASE(EachReleasedPartKeepsItsHandover) {
  KeyOwnershipState State = twoRows();
  declareHolds(State, Start, Start);
  startMoveOf(State, {40, 99}, 3);
  declareHolds(State, Start, Start);
  HoldReport Report = reportOf({{{60, 99}, 3}});
  Report.Releases_ = {{{40, 59}, "low"}};
  onHoldReport(State, Report);
  Report = reportOf({});
  Report.Releases_ = {{{60, 89}, "high"}};
  onHoldReport(State, Report);
  BOOST_REQUIRE(State.Moves_.size() == 3U);
  BOOST_TEST(State.Moves_[0].Handover_ == "low");
  BOOST_TEST(State.Moves_[1].Handover_ == "high");
  BOOST_TEST((State.Moves_[1].Range_ == KeyRange{60, 89}));
  BOOST_TEST(State.Moves_[2].Handover_ == "");
  for (const KeyMove &Move : State.Moves_)
    BOOST_TEST(State.MoveTargets_.at(Move.Range_.First_) == "h1");
}

/// An expired hold is not reported as released, but it is not reported as held
/// either.
BOOST_AUTO_TEST_CASE(ExpiredHoldEndsTheReleaseWithoutAHandover) {
  KeyOwnershipState State = twoRows();
  declareHolds(State, Start, Start);
  startMoveOf(State, {50, 99}, 3);
  declareHolds(State, Start + milliseconds(100), Start + milliseconds(100));
  const Instant End =
      Start + State.Options_.DeclaredHold_ * 102 / 100 + milliseconds(1);
  expireDeclaredHolds(State, End - milliseconds(100));
  BOOST_TEST((State.Moves_[0].Phase_ == KeyMove::Phase::Releasing));
  expireDeclaredHolds(State, End);
  BOOST_TEST((State.Moves_[0].Phase_ == KeyMove::Phase::Released));
  BOOST_TEST(State.Moves_[0].Handover_ == "");
}

/// One reply may be lost. If a second report lacks the keys, the upstream does
/// not accept them, and requests for them must not be sent to it.
BOOST_AUTO_TEST_CASE(KeysThatTheUpstreamDoesNotAcceptAreNotServed) {
  KeyOwnershipState State = twoRows();
  declareHolds(State, Start, Start);
  onHoldReport(State, reportOf({{{100, 199}, 5}}));
  declareHolds(State, Start, Start);
  BOOST_TEST(canServeKey(State, 50, Start));
  onHoldReport(State, reportOf({{{100, 199}, 5}}));
  declareHolds(State, Start, Start);
  BOOST_TEST(!canServeKey(State, 50, Start));
  BOOST_TEST(!needsDeclaration(State, Start));
  BOOST_TEST(canServeKey(State, 150, Start));
  onHoldReport(State, reportOf({{{0, 99}, 3}, {{100, 199}, 5}}));
  declareHolds(State, Start, Start);
  BOOST_TEST(canServeKey(State, 50, Start));
}

BOOST_AUTO_TEST_CASE(ReportsOfKeysThatNoTableNamesChangeNothing) {
  KeyOwnershipState State = twoRows();
  onHoldReport(State, reportOf({{{40000, 50000}, 99}}));
  const auto Declaration = declareHolds(State, Start, Start);
  BOOST_REQUIRE(Declaration.has_value());
  BOOST_TEST(Declaration->Rows_.size() == 2U);
}

/// The platform ignores replies of more than 4 KiB.
BOOST_AUTO_TEST_CASE(LimitsTheNumberOfDeclaredRows) {
  std::vector<KeyRow> Rows;
  for (KeyId First = 0; First < 2000; First += 10)
    Rows.push_back(ownRow({First, First + 5}, First + 1));
  KeyOwnershipState State = makeState(Rows);
  const auto Declaration = declareHolds(State, Start, Start);
  BOOST_REQUIRE(Declaration.has_value());
  BOOST_TEST(Declaration->Rows_.size() == 64U);
  BOOST_TEST(canServeKey(State, 0, Start));
  BOOST_TEST(!canServeKey(State, 1990, Start));
}

/// Whatever the upstream reports, keys count as released only if the last
/// report does not have them, and no earlier declaration can bring them back.
RC_BOOST_PROP(KeysAreFreeOnlyIfNotReported, ()) {
  KeyOwnershipState State = twoRows();
  declareHolds(State, Start, Start);
  const KeyId First = *rc::gen::inRange<KeyId>(0, 100);
  startMoveOf(State, {First, 99}, 3);
  Instant Now = Start;
  const int Reports = *rc::gen::inRange(1, 12);
  for (int Step = 0; Step < Reports; ++Step) {
    Now += milliseconds(*rc::gen::inRange(1, 900));
    HoldReport Report;
    const int Rows = *rc::gen::inRange(0, 4);
    for (int Row = 0; Row < Rows; ++Row) {
      const KeyId From = *rc::gen::inRange<KeyId>(0, 200);
      const KeyId To = From + *rc::gen::inRange<KeyId>(0, 60);
      Report.Holds_.push_back({{From, To}, *rc::gen::element(3U, 5U, 9U)});
    }
    std::vector<KeyMove> Before = State.Moves_;
    onHoldReport(State, Report);
    for (const KeyMove &Move : State.Moves_) {
      const bool Reported = std::any_of(
          Report.Holds_.begin(), Report.Holds_.end(),
          [&](const auto &Hold) { return overlaps(Hold.Range_, Move.Range_); });
      const bool NewlyReleased =
          Move.Phase_ == KeyMove::Phase::Released &&
          std::any_of(Before.begin(), Before.end(), [](const KeyMove &Old) {
            return Old.Phase_ == KeyMove::Phase::Releasing;
          });
      RC_ASSERT(!(NewlyReleased && Reported));
      if (NewlyReleased)
        RC_ASSERT(Move.SafeAt_ >= Start + State.Options_.AcknowledgementTime_);
    }
    if (const auto Declaration = declareHolds(State, Now, Now))
      for (const KeyRow &Row : Declaration->Rows_)
        RC_ASSERT(!overlaps(Row.Range_, KeyRange{First, 99}));
  }
}

/// A reply of an earlier process may be accepted after the first report to this
/// one was sent.
BOOST_AUTO_TEST_CASE(ReportAfterARestartFreesNoKeysOfAnEarlierReply) {
  KeyOwnershipState State;
  const Instant EarlierGrantsEnd = Start + milliseconds(8000);
  State.EarlierProcessGrantsEnd_ = EarlierGrantsEnd;
  startWithRows(State, {ownRow({0, 99}, 1)});
  startMoveOf(State, {0, 99}, 1);
  BOOST_REQUIRE(declareHolds(State, Start, Start).has_value());
  onHoldReport(State, reportOf({}));
  BOOST_REQUIRE(State.Moves_.size() == 1U);
  BOOST_TEST((State.Moves_.front().SafeAt_ == EarlierGrantsEnd));
}

} // namespace lagoonhitch

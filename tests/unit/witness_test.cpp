/// \file
/// A witness's promises.

#define BOOST_TEST_MODULE witness
#include "recovery/takeover.h"
#include "recovery/witness.h"

#include <boost/test/unit_test.hpp>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using Result = LeaseMessage::PromiseResult;

constexpr MemberId Holder = 1;
constexpr MemberId FirstSuccessor = 2;
constexpr MemberId SecondSuccessor = 3;

Instant at(int Millis) { return Instant(milliseconds(100000 + Millis)); }

/// A seat that heard its holder at time 0, and a table of three members.
struct Stage {
  Stage() {
    for (MemberId Id : {Holder, FirstSuccessor, SecondSuccessor})
      Members_.Members_[Id].Id_ = Id;
    Members_.Next_ = 10;
    renew(1, 0);
  }

  bool renew(std::uint64_t Sequence, int Millis) {
    LeaseMessage::Renew Renewal;
    Renewal.Sequence_ = Sequence;
    return onRenew(State_, Members_, Holder, Renewal, at(Millis)).Accepted_;
  }

  LeaseMessage::PromiseReply ask(MemberId Successor, int Millis,
                                 std::uint64_t Epoch = 1) {
    return onPromiseAsk(State_, Members_, Successor, {Holder, Epoch, 1},
                        LeaseOptions(), at(Millis));
  }

  Witness State_;
  Table Members_;
};

} // namespace

BOOST_AUTO_TEST_CASE(RefusesWhileHolderIsHeard) {
  Stage Play;
  BOOST_TEST((Play.ask(FirstSuccessor, 700).Result_ == Result::Refused));
  BOOST_TEST((Play.ask(FirstSuccessor, 800).Result_ == Result::Granted));
}

BOOST_AUTO_TEST_CASE(PromisesOneSuccessorOnly) {
  Stage Play;
  Play.ask(FirstSuccessor, 800);
  BOOST_TEST((Play.ask(SecondSuccessor, 900).Result_ == Result::Refused));
  BOOST_TEST((Play.ask(FirstSuccessor, 900).Result_ == Result::Granted));
}

BOOST_AUTO_TEST_CASE(RefusesRenewalsAfterPromise) {
  Stage Play;
  Play.ask(FirstSuccessor, 800);
  BOOST_TEST(!Play.renew(2, 810));
}

BOOST_AUTO_TEST_CASE(AcceptsRenewalsAfterWithdrawal) {
  Stage Play;
  Play.ask(FirstSuccessor, 800);
  onPromiseWithdraw(Play.State_, FirstSuccessor, {Holder, 1});
  BOOST_TEST(Play.renew(2, 900));
}

BOOST_AUTO_TEST_CASE(IgnoresWithdrawalOfOlderAttempt) {
  Stage Play;
  Play.ask(FirstSuccessor, 800);
  onPromiseWithdraw(Play.State_, FirstSuccessor, {Holder, 0});
  BOOST_TEST(!Play.renew(2, 900));
}

/// The first successor may have served, so the holder never may again.
BOOST_AUTO_TEST_CASE(SupersededHolderStaysRefused) {
  Stage Play;
  Play.ask(FirstSuccessor, 800);
  Play.Members_.Members_.erase(FirstSuccessor);
  const LeaseMessage::PromiseReply Reply = Play.ask(SecondSuccessor, 900);
  BOOST_TEST((Reply.Result_ == Result::Granted));
  BOOST_TEST(Reply.Generation_ == 2U);
  onPromiseWithdraw(Play.State_, SecondSuccessor, {Holder, 1});
  BOOST_TEST(!Play.renew(2, 1000));
}

BOOST_AUTO_TEST_CASE(RefusesForRemovedHolder) {
  Stage Play;
  Play.Members_.Members_.erase(Holder);
  BOOST_TEST((Play.ask(FirstSuccessor, 5000).Result_ == Result::Refused));
  BOOST_TEST(!Play.renew(2, 5000));
}

BOOST_AUTO_TEST_CASE(RetiredEpochGetsNoPromise) {
  Stage Play;
  BOOST_TEST(onRetire(Play.State_, Holder, {1}, at(100)));
  BOOST_TEST((Play.ask(FirstSuccessor, 5000, 1).Result_ == Result::Retired));
  BOOST_TEST((Play.ask(FirstSuccessor, 5000, 2).Result_ == Result::Granted));
}

BOOST_AUTO_TEST_CASE(PromiseStandsAgainstRetirement) {
  Stage Play;
  Play.ask(FirstSuccessor, 800);
  BOOST_TEST(!onRetire(Play.State_, Holder, {1}, at(900)));
}

/// A second successor's tokens exceed those of a first that never reached
/// the log.
BOOST_AUTO_TEST_CASE(LaterSuccessorRaisesTokensFurther) {
  Takeover Attempt;
  Attempt.Victim_ = Holder;
  LeaseMessage::PromiseReply Reply;
  Reply.Result_ = Result::Granted;
  Reply.Generation_ = 2;
  onPromiseReply(Attempt, 7, Reply, LeaseOptions(), at(0));
  Table State;
  State.Services_["katalog"].push_back({Holder, 5, NoMember});
  const std::vector<ShardRef> Inherited = inheritedShards(Attempt, State);
  BOOST_REQUIRE(Inherited.size() == 1U);
  BOOST_TEST(Inherited[0].Token_ == 7U);
}

/// A holder that had no witnesses may not know of its first ones.
BOOST_AUTO_TEST_CASE(NoMajorityBeforeFirstSeatsAreDone) {
  Takeover Attempt;
  Attempt.Promises_[7] = {};
  Member Victim;
  Victim.Seats_.Witnesses_ = {7};
  BOOST_TEST(hasMajority(Attempt, Victim));
  Victim.OldSeats_ = SeatSet();
  BOOST_TEST(!hasMajority(Attempt, Victim));
}

} // namespace lagoonhitch

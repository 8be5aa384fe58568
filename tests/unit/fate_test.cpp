/// \file
/// What became of attempts, and Idempotency-Keys.

#define BOOST_TEST_MODULE fate
#include "recovery/attempt_table.h"
#include "recovery/dedup_window.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Instant at(int Millis) { return Instant(milliseconds(100000 + Millis)); }

AnswerPtr answer(Outcome Known) {
  Answer Result;
  Result.Outcome_ = Known;
  return std::make_shared<const Answer>(Result);
}

const RequestId First{1, 1, 1};
const RequestId Second{1, 2, 1};

} // namespace

BOOST_AUTO_TEST_CASE(TellsRunningAndFinished) {
  AttemptTable Fates;
  BOOST_TEST(beginAttempt(Fates, First, at(2000), at(0)));
  BOOST_TEST((lookUpAttempt(Fates, First, at(2000), {}, at(1)).Status_ ==
              AttemptStatus::Running));
  finishAttempt(Fates, First, at(2000), answer(Outcome::Ran), {}, at(2));
  BOOST_TEST((lookUpAttempt(Fates, First, at(2000), {}, at(3)).Status_ ==
              AttemptStatus::Finished));
}

BOOST_AUTO_TEST_CASE(RefusesWhatWasLookedUpBefore) {
  AttemptTable Fates;
  BOOST_TEST((lookUpAttempt(Fates, First, at(2000), {}, at(0)).Status_ ==
              AttemptStatus::Rejected));
  BOOST_TEST(!beginAttempt(Fates, First, at(2000), at(1)));
}

BOOST_AUTO_TEST_CASE(RefusesLateAndRepeatedAttempts) {
  AttemptTable Fates;
  BOOST_TEST(!beginAttempt(Fates, First, at(10), at(11)));
  BOOST_TEST(beginAttempt(Fates, Second, at(10), at(10)));
  BOOST_TEST(!beginAttempt(Fates, Second, at(10), at(10)));
}

BOOST_AUTO_TEST_CASE(AdmitsForgottenAnswersAreUnknown) {
  AttemptTable Fates;
  AttemptTableOptions Options;
  Options.MaxEntries_ = 1;
  beginAttempt(Fates, First, at(100), at(0));
  finishAttempt(Fates, First, at(100), answer(Outcome::Ran), Options, at(1));
  beginAttempt(Fates, Second, at(200), at(2));
  finishAttempt(Fates, Second, at(200), answer(Outcome::Ran), Options, at(3));
  BOOST_TEST((lookUpAttempt(Fates, First, at(100), Options, at(4)).Status_ ==
              AttemptStatus::Evicted));
}

/// Many large answers: the oldest go, but that they were given is not
/// forgotten, so nobody is told that their attempts have not run.
BOOST_AUTO_TEST_CASE(WithoutRoomAnswersGoButNotThatTheyWereGiven) {
  AttemptTable Fates;
  AttemptTableOptions Options;
  Options.MaxBytes_ = 1;
  Answer Large;
  Large.Outcome_ = Outcome::Ran;
  Large.Body_ = "more than one byte";
  beginAttempt(Fates, First, at(100), at(0));
  finishAttempt(Fates, First, at(100), std::make_shared<const Answer>(Large),
                Options, at(1));
  beginAttempt(Fates, Second, at(200), at(2));
  finishAttempt(Fates, Second, at(200), answer(Outcome::Ran), Options, at(3));
  const AttemptInfo Report =
      lookUpAttempt(Fates, First, at(400), Options, at(4));
  BOOST_TEST((Report.Status_ == AttemptStatus::Finished));
  BOOST_TEST((Report.Answer_ == nullptr));
}

/// A look-up that was longer on its way than the attempt claims a later start.
BOOST_AUTO_TEST_CASE(ALateLookUpOfADroppedAttemptProvesNothing) {
  AttemptTable Fates;
  AttemptTableOptions Options;
  Options.MaxEntries_ = 1;
  beginAttempt(Fates, First, at(5000), at(0));
  finishAttempt(Fates, First, at(5000), answer(Outcome::Ran), Options, at(1));
  beginAttempt(Fates, Second, at(9000), at(2));
  finishAttempt(Fates, Second, at(9000), answer(Outcome::Ran), Options, at(3));
  BOOST_TEST((lookUpAttempt(Fates, First, at(5400), Options, at(4)).Status_ ==
              AttemptStatus::Evicted));
}

/// However attempts, look-ups and drops mix, an attempt that was said to be
/// refused never begins, and no attempt begins twice.
RC_BOOST_PROP(RefusedNeverBegins, ()) {
  AttemptTable Fates;
  AttemptTableOptions Options;
  Options.MaxEntries_ = 3;
  Options.KeepFor_ = milliseconds(50);
  std::set<std::uint64_t> Refused;
  std::set<std::uint64_t> Begun;
  int Now = 0;
  for (int Step = 0; Step < 60; ++Step) {
    Now += *rc::gen::inRange(0, 40);
    const std::uint64_t Number = *rc::gen::inRange<std::uint64_t>(0, 8);
    const RequestId Id{1, Number, 1};
    const Instant StartBy = at(static_cast<int>(Number) * 100);
    if (*rc::gen::arbitrary<bool>()) {
      const AttemptStatus Known =
          lookUpAttempt(Fates, Id, StartBy, Options, at(Now)).Status_;
      if (Known == AttemptStatus::Rejected) {
        RC_ASSERT(Begun.count(Number) == 0U);
        Refused.insert(Number);
      }
      continue;
    }
    if (!beginAttempt(Fates, Id, StartBy, at(Now)))
      continue;
    RC_ASSERT(Refused.count(Number) == 0U);
    RC_ASSERT(Begun.insert(Number).second);
    finishAttempt(Fates, Id, StartBy, answer(Outcome::Ran), Options, at(Now));
  }
}

BOOST_AUTO_TEST_CASE(KeyRunsOnceAndIsReplayed) {
  DedupWindow Window;
  const DedupClaim Claim{"pruf\nk", {}, {}};
  BOOST_TEST((claimIdempotencyKey(Window, Claim, {}, First, {}, at(0)) ==
              DedupDecision::Run));
  BOOST_TEST((claimIdempotencyKey(Window, Claim, {}, Second, {}, at(1)) ==
              DedupDecision::Wait));
  finishIdempotencyKey(Window, Claim.Key_, First, answer(Outcome::Ran), {},
                       at(2));
  BOOST_TEST((claimIdempotencyKey(Window, Claim, {}, Second, {}, at(3)) ==
              DedupDecision::Replay));
}

BOOST_AUTO_TEST_CASE(UnknownEndIsNotRunAgain) {
  DedupWindow Window;
  const DedupClaim Claim{"pruf\nk", {}, {}};
  claimIdempotencyKey(Window, Claim, {}, First, {}, at(0));
  finishIdempotencyKey(Window, Claim.Key_, First, answer(Outcome::Unknown), {},
                       at(2));
  BOOST_TEST((claimIdempotencyKey(Window, Claim, {}, Second, {}, at(3)) ==
              DedupDecision::Replay));
}

BOOST_AUTO_TEST_CASE(KeyThatHasNotRunIsFree) {
  DedupWindow Window;
  const DedupClaim Claim{"pruf\nk", {}, {}};
  claimIdempotencyKey(Window, Claim, {}, First, {}, at(0));
  finishIdempotencyKey(Window, Claim.Key_, First, answer(Outcome::NotRun), {},
                       at(2));
  BOOST_TEST((claimIdempotencyKey(Window, Claim, {}, Second, {}, at(3)) ==
              DedupDecision::Run));
}

BOOST_AUTO_TEST_CASE(KeyAfterTakeoverNeedsProofThatItIsNew) {
  DedupWindow Window;
  ShardHistory Taken;
  Taken.OwnedSince_ = at(0);
  Taken.OwnedSinceWall_ = std::chrono::system_clock::time_point(seconds(1000));
  Taken.HadPreviousOwner_ = true;
  const DedupOptions Options;
  BOOST_TEST((claimIdempotencyKey(Window, {"a", {}, {}}, Taken, First, Options,
                                  at(1)) == DedupDecision::Uncertain));
  BOOST_TEST((claimIdempotencyKey(Window, {"b", 2, {}}, Taken, First, Options,
                                  at(1)) == DedupDecision::Uncertain));
  BOOST_TEST((claimIdempotencyKey(Window, {"c", 1, {}}, Taken, First, Options,
                                  at(1)) == DedupDecision::Run));
  BOOST_TEST((claimIdempotencyKey(
                  Window, {"d", {}, Taken.OwnedSinceWall_ + seconds(10)}, Taken,
                  First, Options, at(1)) == DedupDecision::Run));
  BOOST_TEST((claimIdempotencyKey(
                  Window, {"e", {}, Taken.OwnedSinceWall_ - seconds(10)}, Taken,
                  First, Options, at(1)) == DedupDecision::Uncertain));
}

BOOST_AUTO_TEST_CASE(ReadsTimeOfUuid7) {
  BOOST_TEST(
      (timeOfUuid7("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") ==
       std::chrono::system_clock::time_point(milliseconds(1645557742000))));
  BOOST_TEST(!timeOfUuid7("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
  BOOST_TEST(!timeOfUuid7("order-17"));
}

} // namespace lagoonhitch

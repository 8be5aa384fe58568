/// \file
/// Tests that the checker finds each kind of violation and accepts valid
/// histories.

#define BOOST_TEST_MODULE checker
#include "tests/history/checker.h"

#include <boost/test/unit_test.hpp>

namespace lagoonhitch {

namespace {

Instant at(int Millis) { return Instant(std::chrono::milliseconds(Millis)); }

const ShardKey TestedShard{"katalog", 7};

History validHistory() {
  History Events;
  Events.ServingIntervals_ = {{"a", TestedShard, 1, at(0), at(10)},
                              {"b", TestedShard, 2, at(10), at(20)}};
  Events.Runs_ = {{"order", true}, {"look", false}, {"look", false}};
  Events.Answers_ = {{"order", Outcome::Ran, "o", "o"},
                     {"late", Outcome::NotRun, "", "l"},
                     {"lost", Outcome::Unknown, "", "x"}};
  Events.Assignments_ = {
      {TestedShard, 1, 1}, {TestedShard, 1, 1}, {TestedShard, 2, 2}};
  return Events;
}

} // namespace

BOOST_AUTO_TEST_CASE(AcceptsValidHistory) {
  BOOST_TEST(checkAll(validHistory()).empty());
}

BOOST_AUTO_TEST_CASE(FindsTwoOwners) {
  History Events = validHistory();
  Events.ServingIntervals_[1].Begin_ = at(9);
  BOOST_TEST(checkSoleOwner(Events).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsOverlapWithLongerEarlierInterval) {
  History Events = validHistory();
  Events.ServingIntervals_ = {{"a", TestedShard, 1, at(0), at(30)},
                              {"a", TestedShard, 1, at(1), at(2)},
                              {"b", TestedShard, 2, at(20), at(40)}};
  BOOST_TEST(checkSoleOwner(Events).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsSecondRunOfNonIdempotentCall) {
  History Events = validHistory();
  Events.Runs_.push_back({"order", true});
  BOOST_TEST(checkAtMostOnce(Events).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsRunOfCallAnsweredNotRun) {
  History Events = validHistory();
  Events.Runs_.push_back({"late", false});
  BOOST_TEST(checkNotRun(Events).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsDecreasingToken) {
  History Events = validHistory();
  Events.ServingIntervals_[0].Token_ = 3;
  BOOST_TEST(checkFencingTokens(Events).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsTokenSharedByTwoOwners) {
  History Events = validHistory();
  Events.ServingIntervals_[0].Token_ = 2;
  BOOST_TEST(checkFencingTokens(Events).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsOlderAssignmentAfterNewer) {
  History Events = validHistory();
  Events.Assignments_.push_back({TestedShard, 1, 1});
  BOOST_TEST(checkAssignments(Events).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsAssignmentOfOneTokenToTwoOwners) {
  History Events = validHistory();
  Events.Assignments_.push_back({TestedShard, 3, 2});
  BOOST_TEST(checkAssignments(Events).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsUnexpectedAnswer) {
  History Events = validHistory();
  Events.Answers_[0].Body_ = "";
  BOOST_TEST(checkAnswers(Events).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FindsMoreRequestsThanAStatedLimitAllows) {
  const Instant Start{std::chrono::hours(1)};
  const StatedLimit Limit = {"u", 10, Start, Start + std::chrono::seconds(20)};
  History Events;
  // 65 in four seconds are allowed.
  for (int Number = 0; Number < 300; ++Number)
    Events.Runs_.push_back(
        {"c", false, "u", Start + std::chrono::milliseconds(62) * Number});
  BOOST_TEST(checkStatedLimit(Events, Limit).empty());
  Events.Runs_.push_back({"c", false, "u", Start + std::chrono::seconds(7)});
  Events.Runs_.push_back({"c", false, "other", Start});
  BOOST_TEST(checkStatedLimit(Events, Limit).size() == 1U);
}

} // namespace lagoonhitch

/// \file
/// Tests that a site notices soon that the store has lost its hosts' reads.

#define BOOST_TEST_MODULE poll_schedule
#include "membership/poll_schedule.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{std::chrono::hours(1)};
/// A read that was lost is to be repeated while the store does not count as
/// stable again.
constexpr milliseconds StableAfter{3000};
/// What the client adds until it gives a read up, and the delay of the next.
constexpr milliseconds ReadMargin{800};
constexpr milliseconds LongestReadTimeout{10000};

std::string hostName(std::size_t Number) {
  return "h" + std::to_string(1000 + Number);
}

/// Returns a site whose hosts have all sent a digest.
Fleet makeSite(std::size_t HostCount) {
  Fleet State;
  for (std::size_t Number = 0; Number < HostCount; ++Number) {
    MemberRecord Record;
    Record.Host_ = hostName(Number);
    applyRecord(State, Record, Start);
    LoadDigest Digest;
    Digest.Host_ = Record.Host_;
    Digest.Sequence_ = 1;
    applyDigest(State, Digest, Start);
  }
  return State;
}

} // namespace

/// Review, case 5: the store lost the reads of all hosts at the same moment,
/// and each waited 10.7 s for its reply.
BOOST_DATA_TEST_CASE(ReadsThatAllHostsLoseAreRepeatedSoon,
                     boost::unit_test::data::make({1, 2, 12, 194}), Hosts) {
  const Fleet State = makeSite(static_cast<std::size_t>(Hosts));
  milliseconds Shortest = LongestReadTimeout;
  for (const auto &[Host, Member] : State.Members_)
    Shortest = std::min(Shortest, readTimeout(State, Host, 1, Start));
  BOOST_TEST((Shortest + ReadMargin).count() < StableAfter.count());
}

BOOST_AUTO_TEST_CASE(FewHostsReadOften) {
  const Fleet State = makeSite(194);
  std::size_t Count = 0;
  for (const auto &[Host, Member] : State.Members_)
    Count += readsOften(State, Host, Start) ? 1 : 0;
  BOOST_TEST(Count == 3U);
}

BOOST_AUTO_TEST_CASE(OthersReadOftenWhenTheseFail) {
  Fleet State = makeSite(12);
  const Instant Later = Start + std::chrono::seconds(10);
  std::set<std::string> Failed;
  for (const auto &[Host, Member] : State.Members_)
    if (readsOften(State, Host, Start))
      Failed.insert(Host);
  for (auto &[Host, Member] : State.Members_)
    if (!Failed.contains(Host))
      Member.LastDigestAt_ = Later;
  std::size_t Successors = 0;
  for (const auto &[Host, Member] : State.Members_)
    if (!Failed.contains(Host) && readsOften(State, Host, Later))
      ++Successors;
  BOOST_TEST(Successors == 3U);
}

/// Hosts that have read at the same moment do not do so again.
BOOST_AUTO_TEST_CASE(HostsDoNotReadInStep) {
  const Fleet State = makeSite(12);
  std::set<milliseconds> Timeouts;
  for (const auto &[Host, Member] : State.Members_)
    if (!readsOften(State, Host, Start))
      Timeouts.insert(readTimeout(State, Host, 1, Start));
  BOOST_TEST(Timeouts.size() > 1U);
  for (const milliseconds Timeout : Timeouts)
    BOOST_TEST(Timeout.count() <= LongestReadTimeout.count());
}

} // namespace lagoonhitch

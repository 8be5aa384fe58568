/// \file
/// Tests whether a service counts as full, and what becomes of requests to it.

#define BOOST_TEST_MODULE service_room
#include "routing/service_room.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

const Instant Start{std::chrono::hours(1)};

/// A digest of an upstream whose slots are all in use.
LoadDigest fullDigest(const std::string &Host, std::uint32_t WaitMillis) {
  LoadDigest Digest;
  Digest.Host_ = Host;
  Digest.Process_ = 1;
  Digest.Sequence_ = 1;
  Digest.IntervalMillis_ = 250;
  Digest.Accepting_ = true;
  Digest.Slots_ = 6;
  Digest.Running_ = 6;
  Digest.Queued_ = 30;
  Digest.ProcessingMillis_ = 200;
  Digest.Work_.SlowdownPercent_ = 100;
  Digest.Work_.WaitMillis_.fill(WaitMillis);
  return Digest;
}

void addHost(Fleet &State, const LoadDigest &Digest, Instant Now = Start) {
  MemberRecord Record;
  Record.Host_ = Digest.Host_;
  Record.Zone_ = "z";
  Record.Service_ = "s";
  Record.State_ = UpstreamState::Ready;
  applyRecord(State, Record, Now);
  applyDigest(State, Digest, Now);
}

/// A service of four upstreams at which requests wait longer than they can.
Fleet fullFleet() {
  Fleet State;
  addHost(State, fullDigest("a", 900));
  addHost(State, fullDigest("b", 1000));
  addHost(State, fullDigest("c", 1200));
  addHost(State, fullDigest("d", 1400));
  return State;
}

/// A request that can wait for 500 ms: its objective is 700 ms and a run takes
/// 200 ms.
QueuedRequest request(std::uint32_t Rank = 1) {
  QueuedRequest Request;
  Request.Rank_ = Rank;
  Request.Objective_ = milliseconds(700);
  Request.ObjectiveAt_ = Start + Request.Objective_;
  Request.Timeout_ = milliseconds(2000);
  Request.Deadline_ = Start + Request.Timeout_;
  return Request;
}

ServiceRoom roomOf(const Fleet &State, const QueuedRequest &Request = request(),
                   const std::set<std::string> &Tried = {},
                   Instant Now = Start) {
  return serviceRoom(State, "s", Request, Tried, ServiceRoomOptions(), Now);
}

/// Returns the Retry-After of many requests that are rejected at once.
std::vector<Duration> rejections(const ServiceRoom &Room,
                                 const QueuedRequest &Request, int Requests) {
  std::mt19937_64 Random(1);
  std::vector<Duration> Times;
  for (int Number = 0; Number < Requests; ++Number)
    if (const auto RetryAfter =
            rejectAtOnce(Room, Request, ServiceRoomOptions(), Random(), Start))
      Times.push_back(*RetryAfter);
  return Times;
}

} // namespace

/// Requests were sent to up to five full upstreams.
BOOST_AUTO_TEST_CASE(AllUpstreamsAreFull) {
  const ServiceRoom Room = roomOf(fullFleet());
  BOOST_TEST(Room.Full_);
  BOOST_TEST((Room.First_ == milliseconds(400)));
  BOOST_TEST((Room.Last_ == milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(OneUpstreamWithRoomIsEnough) {
  for (const std::uint32_t Wait : {0U, 300U, 500U}) {
    Fleet State = fullFleet();
    addHost(State, fullDigest("e", Wait));
    BOOST_TEST(!roomOf(State).Full_);
  }
  Fleet State = fullFleet();
  addHost(State, fullDigest("e", 501));
  BOOST_TEST(roomOf(State).Full_);
}

/// A free slot counts more than a wait that was calculated earlier.
BOOST_AUTO_TEST_CASE(UpstreamWithAFreeSlotHasRoom) {
  Fleet State = fullFleet();
  LoadDigest Digest = fullDigest("e", 900);
  Digest.Running_ = 5;
  Digest.Queued_ = 0;
  addHost(State, Digest);
  BOOST_TEST(!roomOf(State).Full_);
}

BOOST_AUTO_TEST_CASE(WaitOfTheRequestsRankCounts) {
  Fleet State;
  LoadDigest Digest = fullDigest("a", 900);
  Digest.Work_.WaitMillis_ = {0, 100, 600, 900};
  addHost(State, Digest);
  BOOST_TEST(!roomOf(State, request(0)).Full_);
  BOOST_TEST(!roomOf(State, request(1)).Full_);
  BOOST_TEST(roomOf(State, request(2)).Full_);
  BOOST_TEST(roomOf(State, request(3)).Full_);
  BOOST_TEST(
      roomOf(State, request(std::numeric_limits<std::uint32_t>::max())).Full_);
}

/// A daemon of the version before reports no waits.
BOOST_AUTO_TEST_CASE(UnknownWaitCountsAsRoom) {
  Fleet State = fullFleet();
  LoadDigest Digest = fullDigest("e", 0);
  Digest.Work_ = UpstreamWork();
  addHost(State, Digest);
  BOOST_TEST(!roomOf(State).Full_);
}

BOOST_AUTO_TEST_CASE(UpstreamWithoutSlotsCountsAsRoom) {
  Fleet State = fullFleet();
  LoadDigest Digest = fullDigest("e", 900);
  Digest.Slots_ = 0;
  addHost(State, Digest);
  BOOST_TEST(!roomOf(State).Full_);
}

BOOST_AUTO_TEST_CASE(AbsurdNumbersCountAsRoom) {
  constexpr std::uint32_t Max = std::numeric_limits<std::uint32_t>::max();
  Fleet State = fullFleet();
  addHost(State, fullDigest("e", Max));
  BOOST_TEST(!roomOf(State).Full_);
  Fleet Slow;
  LoadDigest Digest = fullDigest("a", 60000);
  Digest.ProcessingMillis_ = Max;
  Digest.IntervalMillis_ = Max;
  Digest.Queued_ = Max;
  addHost(Slow, Digest);
  const ServiceRoom Room = roomOf(Slow);
  for (const Duration RetryAfter : rejections(Room, request(), 100)) {
    BOOST_TEST((RetryAfter > Duration::zero()));
    BOOST_TEST((RetryAfter <= milliseconds(1000)));
  }
}

/// Reports of an upstream that has just emptied its queue may be late.
BOOST_AUTO_TEST_CASE(StaleReportsCountAsRoom) {
  const Fleet State = fullFleet();
  for (const int Millis : {0, 100, 300})
    BOOST_TEST(
        roomOf(State, request(), {}, Start + milliseconds(Millis)).Full_);
  for (const int Millis : {601, 1000, 1400})
    BOOST_TEST(
        !roomOf(State, request(), {}, Start + milliseconds(Millis)).Full_);
}

/// One stale report among recent ones.
BOOST_AUTO_TEST_CASE(AllReportsMustBeRecent) {
  Fleet State = fullFleet();
  addHost(State, fullDigest("e", 5000), Start - milliseconds(700));
  BOOST_TEST(!roomOf(State).Full_);
}

/// Requests are not sent there, so its report does not matter.
BOOST_AUTO_TEST_CASE(UpstreamThatTakesNoRequestsIsNoRoom) {
  Fleet State = fullFleet();
  LoadDigest Digest = fullDigest("e", 0);
  Digest.Accepting_ = false;
  addHost(State, Digest);
  Digest = fullDigest("f", 0);
  Digest.Stopping_ = true;
  addHost(State, Digest);
  addHost(State, fullDigest("g", 0), Start - std::chrono::seconds(10));
  addHost(State, fullDigest("h", 0));
  findMember(State, "h")->AvoidUntil_ = Start + milliseconds(100);
  BOOST_TEST(roomOf(State).Full_);
  BOOST_TEST(!roomOf(Fleet()).Full_);
}

BOOST_AUTO_TEST_CASE(TriedUpstreamsAreLeftOut) {
  Fleet State = fullFleet();
  addHost(State, fullDigest("e", 0));
  BOOST_TEST(roomOf(State, request(), {"e"}).Full_);
  BOOST_TEST(!roomOf(State, request(), {"a", "b", "c", "d", "e"}).Full_);
}

/// A request with a short timeout may wait until its deadline, as at gateways.
BOOST_AUTO_TEST_CASE(FollowsTheRuleOfGateways) {
  Fleet State;
  addHost(State, fullDigest("a", 450));
  QueuedRequest Short = request();
  Short.Objective_ = milliseconds(400);
  Short.ObjectiveAt_ = Start + Short.Objective_;
  BOOST_TEST(roomOf(State, Short).Full_);
  Short.Timeout_ = milliseconds(800);
  Short.Deadline_ = Start + Short.Timeout_;
  BOOST_TEST(!roomOf(State, Short).Full_);
}

/// Callers that are rejected together must not return together.
BOOST_AUTO_TEST_CASE(SpreadsRetriesOverTheTimeWithRoom) {
  const std::vector<Duration> Times =
      rejections(roomOf(fullFleet()), request(), 2000);
  int Early = 0;
  for (const Duration RetryAfter : Times) {
    BOOST_TEST((RetryAfter >= milliseconds(400)));
    BOOST_TEST((RetryAfter <= milliseconds(900)));
    Early += RetryAfter < milliseconds(650);
  }
  BOOST_TEST(Early * 10 > static_cast<int>(Times.size()) * 4);
  BOOST_TEST(Early * 10 < static_cast<int>(Times.size()) * 6);
}

/// Without requests, reports of a full upstream that come with responses would
/// not be corrected.
BOOST_AUTO_TEST_CASE(SendsASmallShare) {
  const auto Rejected = static_cast<int>(
      rejections(roomOf(fullFleet()), request(), 10000).size());
  BOOST_TEST(Rejected > 9600);
  BOOST_TEST(Rejected < 9800);
}

/// No caller is told to retry after its own deadline.
BOOST_AUTO_TEST_CASE(RetryAfterIsBeforeTheDeadline) {
  Fleet State;
  addHost(State, fullDigest("a", 50000));
  for (const int Millis : {150, 400, 1000, 2000}) {
    QueuedRequest Request = request();
    Request.Timeout_ = milliseconds(Millis);
    Request.Deadline_ = Start + Request.Timeout_;
    const std::vector<Duration> Times =
        rejections(roomOf(State, Request), Request, 100);
    BOOST_TEST(!Times.empty());
    for (const Duration RetryAfter : Times)
      BOOST_TEST((RetryAfter <= Request.Timeout_ / 2));
  }
}

BOOST_AUTO_TEST_CASE(SendsRequestsThatCannotBeRetried) {
  QueuedRequest Call = request();
  Call.Chained_ = true;
  BOOST_TEST(rejections(roomOf(fullFleet()), Call, 100).empty());
  QueuedRequest Late = request();
  Late.Deadline_ = Start + milliseconds(100);
  BOOST_TEST(rejections(roomOf(fullFleet(), Late), Late, 100).empty());
  BOOST_TEST(rejections(ServiceRoom(), request(), 100).empty());
}

} // namespace lagoonhitch

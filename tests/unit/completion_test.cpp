/// \file
/// Tests of the choice of hosts by work and speed.

#define BOOST_TEST_MODULE completion
#include "bench/decisions/uneven_speed.h"
#include "routing/completion_estimate.h"
#include "routing/host_choice.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

const Instant Start{std::chrono::hours(1)};
constexpr std::uint32_t Slots = 12;

FleetMember &addHost(Fleet &State, const std::string &Host,
                     std::uint32_t Running, std::uint32_t Slowdown,
                     std::uint32_t CurrentSlowdown = 0) {
  MemberRecord Record;
  Record.Host_ = Host;
  Record.Zone_ = "z1";
  Record.Service_ = "s";
  Record.State_ = UpstreamState::Ready;
  applyRecord(State, Record, Start);
  LoadDigest Digest;
  Digest.Host_ = Host;
  Digest.Sequence_ = 1;
  Digest.Accepting_ = true;
  Digest.Running_ = Running;
  Digest.Slots_ = Slots;
  Digest.ProcessingMillis_ = 200;
  Digest.IntervalMillis_ = 250;
  Digest.Work_.SlowdownPercent_ = Slowdown;
  Digest.Work_.CurrentSlowdownPercent_ =
      CurrentSlowdown == 0 ? Slowdown : CurrentSlowdown;
  applyDigest(State, Digest, Start);
  return *findMember(State, Host);
}

HostChoice makeChoice(milliseconds Work) {
  HostChoice Choice;
  Choice.Service_ = "s";
  Choice.OwnZone_ = "z1";
  Choice.Request_ = {Work, 1};
  Choice.Objective_ = milliseconds(600);
  return Choice;
}

/// Counts which hosts are chosen for 1000 requests, each sent before the next
/// is chosen.
std::map<std::string, int> sendRequests(Fleet &State, const HostChoice &Choice,
                                        bool CountSent, Instant Now = Start) {
  std::mt19937_64 Random(1);
  std::map<std::string, int> Counts;
  for (int Number = 0; Number < 1000; ++Number) {
    const std::string Host =
        *chooseHost(State, Choice, HostChoiceOptions(), Random(), Now);
    ++Counts[Host];
    if (CountSent)
      ++findMember(State, Host)->SentSinceLoadUpdate_;
  }
  return Counts;
}

} // namespace

BOOST_AUTO_TEST_CASE(PrefersTheFasterOfTwoIdleUpstreams) {
  Fleet State;
  addHost(State, "fast", 0, 60);
  addHost(State, "slow", 0, 200);
  BOOST_TEST(sendRequests(State, makeChoice(milliseconds(100)),
                          false)["fast"] == 1000);
}

/// A fast upstream must not be filled up while others are idle.
BOOST_AUTO_TEST_CASE(DoesNotFillUpTheFastestUpstream) {
  Fleet State;
  addHost(State, "fast", Slots + 1, 50);
  addHost(State, "slow", 2, 200);
  BOOST_TEST(sendRequests(State, makeChoice(milliseconds(100)),
                          false)["slow"] == 1000);
}

/// Many requests between two reports must not all go to the upstream that the
/// report shows as the fastest.
BOOST_AUTO_TEST_CASE(HerdOnTheFastestUpstreamIsSpread) {
  Fleet State;
  addHost(State, "fast", 0, 50);
  for (int Number = 0; Number < 5; ++Number)
    addHost(State, "other" + std::to_string(Number), 0, 150);
  std::map<std::string, int> Counts =
      sendRequests(State, makeChoice(milliseconds(100)), true);
  BOOST_TEST(Counts["fast"] < 1000 / 2);
  for (int Number = 0; Number < 5; ++Number)
    BOOST_TEST(Counts["other" + std::to_string(Number)] > 1000 / 20);
}

/// A slow moment must be avoided while it lasts and forgotten afterwards.
BOOST_AUTO_TEST_CASE(AvoidsAnUpstreamThatIsSlowForAMoment) {
  Fleet State;
  addHost(State, "moment", 0, 80, 300);
  addHost(State, "usual", 0, 120);
  const HostChoice Choice = makeChoice(milliseconds(100));
  BOOST_TEST(sendRequests(State, Choice, false)["usual"] == 1000);
  BOOST_TEST(sendRequests(State, Choice, false,
                          Start + milliseconds(600))["moment"] == 1000);
}

/// A moment that is over before the request starts must not count.
BOOST_AUTO_TEST_CASE(SlowMomentCountsLessForLongRequests) {
  Fleet State;
  const FleetMember &Member = addHost(State, "moment", 0, 100, 400);
  const auto Slowdown = [&Member](milliseconds Work) {
    const std::optional<CompletionEstimate> Estimate =
        estimateCompletion(Member, {Work, 1}, 0, Start);
    return std::chrono::duration<double>(Estimate->Run_) / Work;
  };
  BOOST_TEST(Slowdown(milliseconds(10)) > 3.5);
  BOOST_TEST(Slowdown(milliseconds(2000)) < 1.6);
}

/// Absurd and missing reports must be judged like those of an upstream of usual
/// speed, and as before if the work of the request is unknown.
BOOST_DATA_TEST_CASE(JudgesAbsurdReportsByLoad,
                     boost::unit_test::data::make({0U, 10001U, 4294967295U}),
                     Slowdown) {
  Fleet State;
  const FleetMember &Absurd = addHost(State, "absurd", 3, Slowdown);
  const FleetMember &Usual = addHost(State, "usual", 3, 100);
  const HostChoiceOptions Options;
  const auto CostOf = [&Options](const FleetMember &Member, int Millis) {
    return costOf(Member, makeChoice(milliseconds(Millis)), Options, Start);
  };
  BOOST_TEST((CostOf(Absurd, 100) == CostOf(Usual, 100)));
  BOOST_TEST((CostOf(Absurd, 0) == CostOf(Usual, 0)));
}

/// An upstream that reports no slowdown yet must get requests that take less
/// time than the processing time that is assumed for it.
BOOST_AUTO_TEST_CASE(ChoosesAnIdleUpstreamWithoutReport) {
  Fleet State;
  addHost(State, "new", 0, 0);
  addHost(State, "known", Slots / 2, 100);
  BOOST_TEST(sendRequests(State, makeChoice(milliseconds(59)), false)["new"] ==
             1000);
}

/// Absurd times must neither overflow nor exclude the only upstream.
BOOST_AUTO_TEST_CASE(LimitsAbsurdTimes) {
  Fleet State;
  FleetMember &Member = addHost(State, "absurd", 3, 100, 4294967295U);
  Member.Digest_.Work_.RemainingMillis_ = 4294967295U;
  Member.Digest_.Work_.WaitMillis_.fill(4294967295U);
  const HostChoice Choice = makeChoice(milliseconds(100));
  const Duration Cost = costOf(Member, Choice, HostChoiceOptions(), Start);
  BOOST_TEST((Cost > std::chrono::seconds(60)));
  BOOST_TEST((Cost < std::chrono::seconds(100)));
  BOOST_TEST(sendRequests(State, Choice, false)["absurd"] == 1000);
}

/// The wait of the request's own rank counts.
BOOST_AUTO_TEST_CASE(UsesTheWaitOfTheRank) {
  Fleet State;
  FleetMember &Member = addHost(State, "a", Slots, 100);
  Member.Digest_.Work_.WaitMillis_ = {10, 20, 300, 4000};
  const auto WaitOf = [&Member](std::uint32_t Rank) {
    return toMillis(
        estimateCompletion(Member, {milliseconds(100), Rank}, 0, Start)->Wait_);
  };
  BOOST_TEST((WaitOf(0) == milliseconds(10)));
  BOOST_TEST((WaitOf(2) == milliseconds(300)));
  BOOST_TEST((WaitOf(9) == milliseconds(4000)));
}

/// Of two upstreams that run as many requests, the one with less work left is
/// free earlier.
BOOST_AUTO_TEST_CASE(ConsidersTheRemainingWork) {
  Fleet State;
  addHost(State, "long", Slots, 100).Digest_.Work_.RemainingMillis_ = 60000;
  addHost(State, "short", Slots, 100).Digest_.Work_.RemainingMillis_ = 500;
  BOOST_TEST(sendRequests(State, makeChoice(milliseconds(100)),
                          false)["short"] == 1000);
}

/// With speeds from 0.5 to 2.4, slow moments and mixed classes, requests must
/// be completed earlier than without the reported numbers, and the load must
/// not gather on the fastest upstreams.
BOOST_AUTO_TEST_CASE(CompletesMixedRequestsEarlierOnUnevenUpstreams) {
  UnevenSpeedOptions Options = unevenSpeedOptions();
  const UnevenSpeedResult Result = simulateUnevenSpeed(Options);
  Options.ReportSlowdown_ = false;
  const UnevenSpeedResult ByCounts = simulateUnevenSpeed(Options);
  BOOST_TEST(Result.MeanRelative_ < ByCounts.MeanRelative_);
  BOOST_TEST(Result.P95Relative_ < ByCounts.P95Relative_);
  BOOST_TEST(Result.LostShare_ <= ByCounts.LostShare_);
  BOOST_TEST(Result.BusiestToMean_ <= 2.4);
}

} // namespace lagoonhitch

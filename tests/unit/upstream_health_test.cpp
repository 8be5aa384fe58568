/// \file
/// Tests how entry daemons avoid upstreams that fail. Each replays one load.

#define BOOST_TEST_MODULE upstream_health
#include "routing/upstream_health.h"
#include "tests/unit/shared_service_model.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant Start{std::chrono::hours(1)};
constexpr UpstreamHealthOptions Options;
/// The first hosts fail from here on.
constexpr milliseconds FailsFrom = seconds(3);

/// Makes the first upstreams fail for some time.
SharedServiceOptions failing(std::size_t Count, double Probability,
                             milliseconds Until = seconds(60)) {
  SharedServiceOptions Service;
  Service.FailureProbability_ = [=](std::size_t Upstream, milliseconds At) {
    return Upstream < Count && At >= FailsFrom && At < Until ? Probability : 0;
  };
  return Service;
}

/// Returns the highest number of attempts at one upstream, divided by the mean.
double busiestToMean(const SharedServiceModel &Model, std::size_t First,
                     std::size_t Hosts, milliseconds From, milliseconds To) {
  double Highest = 0;
  for (std::size_t Upstream = First; Upstream < Hosts; ++Upstream)
    Highest = std::max(Highest, Model.attemptsToMean(Upstream, From, To));
  return Highest;
}

/// A service whose hosts report the given shares of failures.
Fleet reporting(const std::vector<std::uint32_t> &Percents) {
  Fleet State;
  for (std::size_t Index = 0; Index < Percents.size(); ++Index) {
    MemberRecord Record;
    Record.Host_ = "h" + std::to_string(Index);
    Record.Service_ = "s";
    Record.Upstream_ = "u1";
    Record.State_ = UpstreamState::Ready;
    applyRecord(State, Record, Start);
    LoadDigest Digest;
    Digest.Host_ = Record.Host_;
    Digest.Sequence_ = 1;
    Digest.Accepting_ = true;
    Digest.Slots_ = 16;
    Digest.Work_.FailurePercent_ = Percents[Index];
    applyDigest(State, Digest, Start);
  }
  return State;
}

std::vector<HealthChange> assess(ServiceHealth &Health, const Fleet &State,
                                 Instant Now = Start) {
  return assessUpstreams(Health, State, "s", Options, 0, Now);
}

} // namespace

/// One of 20 upstreams fails everything within 2 ms, so that it is always idle
/// and attracts several times the mean number of requests. A second after its
/// failure began it must get no more than the probes.
BOOST_AUTO_TEST_CASE(UpstreamThatFailsEverythingGetsOnlyProbes) {
  SharedServiceOptions Unprotected = failing(1, 1);
  Unprotected.UseHealth_ = false;
  SharedServiceModel Before(Unprotected);
  Before.runUntil(seconds(8));
  BOOST_TEST(Before.attemptsToMean(0, seconds(4), seconds(8)) >= 1.5);
  BOOST_TEST(Before.failedShare(seconds(4), seconds(8)) >= 0.05);

  SharedServiceModel Model(failing(1, 1));
  Model.runUntil(seconds(8));
  BOOST_TEST(Model.attempts(0, FailsFrom, seconds(4)) <= 60U);
  BOOST_TEST(Model.attempts(0, seconds(4), seconds(8)) <= 20U);
  BOOST_TEST(Model.attempts(0, seconds(4), seconds(8)) >= 4U);
  BOOST_TEST(Model.failedShare(seconds(4), seconds(8)) <= 0.005);
  // The others share its requests evenly.
  BOOST_TEST(busiestToMean(Model, 1, 20, seconds(4), seconds(8)) <= 1.3);
}

/// An upstream that fails half of its requests must lose most of them.
BOOST_AUTO_TEST_CASE(UpstreamThatFailsHalfIsAvoided) {
  SharedServiceModel Model(failing(1, 0.5));
  Model.runUntil(seconds(12));
  BOOST_TEST(Model.attemptsToMean(0, seconds(4), seconds(12)) <= 0.4);
}

/// A service that all upstreams call is down. Avoiding some of them would only
/// move their requests to others that fail as well.
BOOST_AUTO_TEST_CASE(NoUpstreamIsAvoidedIfAllFailAlike) {
  for (const double Probability : {0.3, 0.6, 1.0}) {
    SharedServiceModel Model(failing(20, Probability));
    Model.runUntil(seconds(10));
    if (Probability < 1)
      BOOST_TEST(busiestToMean(Model, 0, 20, seconds(4), seconds(10)) <= 1.5,
                 "failures " << Probability);
    std::size_t Avoided = 0;
    for (std::size_t Upstream = 0; Upstream < 20; ++Upstream)
      Avoided += Model.avoiders(Upstream);
    // Of 400 pairs of an entry daemon and an upstream.
    BOOST_TEST(Avoided <= 40U, "failures " << Probability);
  }
}

/// If all fail at once, all are idle, and reports of equal loads must not send
/// most requests to a few of them.
BOOST_AUTO_TEST_CASE(RequestsPileUpIfAllFailAtOnce) {
  SharedServiceModel Model(failing(20, 1));
  Model.runUntil(seconds(10));
  BOOST_TEST(busiestToMean(Model, 0, 20, seconds(4), seconds(10)) <= 1.5);
}

/// An upstream that works again must get its share within seconds, although it
/// had only probes.
BOOST_AUTO_TEST_CASE(RecoveredUpstreamReturns) {
  SharedServiceModel Model(failing(1, 1, seconds(8)));
  Model.runUntil(seconds(16));
  BOOST_TEST(Model.attempts(0, seconds(5), seconds(8)) <= 15U);
  BOOST_TEST(Model.attemptsToMean(0, seconds(12), seconds(16)) >= 0.7);
  BOOST_TEST(Model.attemptsToMean(0, seconds(12), seconds(16)) <= 1.5);
  BOOST_TEST(Model.avoiders(0) == 0U);
}

/// A failing upstream must not be probed by all entry daemons as often as one
/// daemon alone may. With many of them, each probes rarely.
BOOST_AUTO_TEST_CASE(ProbesAreBoundedOverAllEntryDaemons) {
  SharedServiceOptions Large = failing(1, 1);
  Large.Hosts_ = 64;
  Large.Rate_ = 2000;
  SharedServiceModel Model(Large);
  Model.runUntil(seconds(15));
  BOOST_TEST(Model.attempts(0, seconds(5), seconds(15)) <= 50U);
  BOOST_TEST(Model.attempts(0, seconds(5), seconds(15)) >= 10U);
}

/// One upstream that works could not take the requests of two that fail.
BOOST_AUTO_TEST_CASE(NoneIsAvoidedIfTwoOfThreeFail) {
  SharedServiceOptions Small = failing(2, 1);
  Small.Hosts_ = 3;
  Small.Rate_ = 90;
  SharedServiceModel Model(Small);
  Model.runUntil(seconds(8));
  for (std::size_t Upstream = 0; Upstream < 3; ++Upstream)
    BOOST_TEST(Model.avoiders(Upstream) == 0U);
  ServiceHealth Health;
  BOOST_TEST(assess(Health, reporting({90, 95, 0, 10, 0})).size() == 2U);
  BOOST_TEST(assess(Health, reporting({90, 95, 80, 10, 0}), Start + seconds(1))
                 .size() == 2U);
  BOOST_TEST(avoidedUpstreams(Health) == 0U);
}

/// If half of the upstreams fail, the others may be too few for all requests:
/// the choice weighs the failures against the load.
BOOST_AUTO_TEST_CASE(NoneIsAvoidedIfHalfFail) {
  ServiceHealth Health;
  BOOST_TEST(assess(Health, reporting({100, 100, 0, 0})).empty());
  BOOST_TEST(expectedAttempts(&Health, "h0") > 5);
  ServiceHealth Fewer;
  BOOST_TEST(assess(Fewer, reporting({100, 100, 0, 0, 0})).size() == 2U);
}

/// Of two upstreams, the one that works must get the requests, even if it is
/// busier.
BOOST_AUTO_TEST_CASE(OneOfTwoIsPreferred) {
  Fleet State = reporting({100, 0});
  findMember(State, "h1")->Digest_.Running_ = 16;
  ServiceHealth Health;
  assess(Health, State);
  HostChoice Choice;
  Choice.Service_ = "s";
  BOOST_TEST(*chooseHost(State, Choice, HostChoiceOptions(), 0, Start) == "h0");
  Choice.Health_ = &Health;
  BOOST_TEST(*chooseHost(State, Choice, HostChoiceOptions(), 0, Start) == "h1");
}

/// A single upstream has no alternative.
BOOST_AUTO_TEST_CASE(OnlyUpstreamIsNotAvoided) {
  ServiceHealth Health;
  BOOST_TEST(assess(Health, reporting({100})).empty());
  BOOST_TEST(expectedAttempts(&Health, "h0") == 1.0);
}

/// Percentages that no daemon can have measured must have no effect.
BOOST_AUTO_TEST_CASE(PercentagesOutOfRangeAreIgnored) {
  ServiceHealth Health;
  BOOST_TEST(
      assess(Health, reporting({101, std::numeric_limits<std::uint32_t>::max(),
                                0, 0, 0}))
          .empty());
  BOOST_TEST(expectedAttempts(&Health, "h0") == 1.0);
  BOOST_TEST(expectedAttempts(&Health, "h1") == 1.0);
  BOOST_TEST(failingHosts(reporting({4000, 0, 0}), "s", Options).empty());
}

/// Below the limit, an upstream costs as many attempts as a success needs,
/// compared with the others.
BOOST_AUTO_TEST_CASE(CostGrowsWithTheFailuresAboveTheMedian) {
  ServiceHealth Health;
  BOOST_TEST(assess(Health, reporting({20, 0, 0, 0})).empty());
  BOOST_TEST(expectedAttempts(&Health, "h0") > 1.15);
  BOOST_TEST(expectedAttempts(&Health, "h0") < 1.3);
  BOOST_TEST(expectedAttempts(&Health, "h1") == 1.0);
  ServiceHealth Alike;
  BOOST_TEST(assess(Alike, reporting({20, 20, 20, 20})).empty());
  BOOST_TEST(expectedAttempts(&Alike, "h0") == 1.0);
}

/// An upstream whose rate varies around the limit must not be avoided and
/// readmitted with each report.
BOOST_AUTO_TEST_CASE(AvoidanceEndsBelowALowerRate) {
  ServiceHealth Health;
  BOOST_TEST(assess(Health, reporting({32, 0, 0})).size() == 1U);
  BOOST_TEST(assess(Health, reporting({28, 0, 0}), Start + seconds(1)).empty());
  BOOST_TEST(isAvoided(&Health, "h0"));
  BOOST_TEST(assess(Health, reporting({10, 0, 0}), Start + seconds(2)).size() ==
             1U);
  BOOST_TEST(!isAvoided(&Health, "h0"));
}

/// Reports may be seconds old or come from a daemon that reports no failures:
/// an entry daemon must stop after a few failures of its own.
BOOST_AUTO_TEST_CASE(OwnFailuresCountWithoutAReport) {
  const Fleet State = reporting({0, 0, 0});
  ServiceHealth Health;
  BOOST_TEST(assess(Health, State).empty());
  for (int Failure = 0; Failure < 3; ++Failure)
    addOwnRequestEnd(Health, "h0", true, LoadReport(), Options, Start);
  BOOST_TEST(assess(Health, State).size() == 1U);
  BOOST_TEST(isAvoided(&Health, "h0"));
  // They are forgotten without new ones.
  assess(Health, State, Start + seconds(8));
  BOOST_TEST(!isAvoided(&Health, "h0"));
}

/// The next incarnation of an upstream must not pay for the one before.
BOOST_AUTO_TEST_CASE(NextIncarnationStartsAnew) {
  Fleet State = reporting({0, 0, 0});
  ServiceHealth Health;
  assess(Health, State);
  for (int Failure = 0; Failure < 5; ++Failure)
    addOwnRequestEnd(Health, "h0", true, std::nullopt, Options, Start);
  assess(Health, State);
  BOOST_TEST(isAvoided(&Health, "h0"));
  findMember(State, "h0")->Record_.Upstream_ = "u2";
  assess(Health, State, Start + seconds(1));
  BOOST_TEST(!isAvoided(&Health, "h0"));
}

/// A retry must reach an upstream that works, and an avoided one is better than
/// none.
BOOST_AUTO_TEST_CASE(RetriesPreferUpstreamsThatWork) {
  const Fleet State = reporting({100, 0, 0});
  ServiceHealth Health;
  assess(Health, State);
  HostChoice Choice;
  Choice.Service_ = "s";
  Choice.Health_ = &Health;
  Choice.Tried_ = {"h1"};
  for (std::uint64_t Random = 0; Random < 50; ++Random)
    BOOST_TEST(*chooseHost(State, Choice, HostChoiceOptions(), Random, Start) ==
               "h2");
  Choice.Tried_ = {"h1", "h2"};
  BOOST_TEST(*chooseHost(State, Choice, HostChoiceOptions(), 0, Start) == "h0");
  Choice.Tried_.clear();
  Choice.Probe_ = "h0";
  BOOST_TEST(*chooseHost(State, Choice, HostChoiceOptions(), 0, Start) == "h0");
}

/// A request that can't be repeated is lost with its probe, so idempotent ones
/// are used if there are any.
BOOST_AUTO_TEST_CASE(IdempotentRequestsProbeFirst) {
  ServiceHealth Health;
  assess(Health, reporting({100, 0, 0}));
  constexpr std::size_t Daemons = 3;
  const Instant Later = Start + milliseconds(1100);
  BOOST_TEST(!takeProbe(Health, false, Daemons, Options, Later));
  BOOST_TEST((takeProbe(Health, true, Daemons, Options, Later) == "h0"));
  BOOST_TEST(!takeProbe(Health, true, Daemons, Options, Later));
  BOOST_TEST(
      (takeProbe(Health, false, Daemons, Options, Later + seconds(2)) == "h0"));
}

/// A failing owner of keys must get no further ones, unless most owners fail.
BOOST_AUTO_TEST_CASE(FailingHostsGetNoKeys) {
  BOOST_TEST((failingHosts(reporting({100, 0, 0, 5}), "s", Options) ==
              std::set<std::string>{"h0"}));
  BOOST_TEST(failingHosts(reporting({100, 100, 100, 0}), "s", Options).empty());
  BOOST_TEST(failingHosts(reporting({100, 0}), "other", Options).empty());
}

} // namespace lagoonhitch

/// \file
/// Tests of fleet members, upstream incarnations, digest recipients and the
/// choice of hosts.

#define BOOST_TEST_MODULE fleet
#include "membership/contact_clock.h"
#include "membership/digest_recipients.h"
#include "membership/fleet.h"
#include "membership/upstream_incarnation.h"
#include "net/digest_codec.h"
#include "routing/host_choice.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

const Instant Start{std::chrono::hours(1)};

void addHost(Fleet &State, const std::string &Host, const std::string &Zone,
             std::uint32_t Running, std::uint32_t ProcessingMillis = 100) {
  MemberRecord Record;
  Record.Host_ = Host;
  Record.Zone_ = Zone;
  Record.Service_ = "s";
  Record.State_ = UpstreamState::Ready;
  applyRecord(State, Record, Start);
  LoadDigest Digest;
  Digest.Host_ = Host;
  Digest.Process_ = 1;
  Digest.Sequence_ = 1;
  Digest.Accepting_ = true;
  Digest.Slots_ = 18;
  Digest.Running_ = Running;
  Digest.ProcessingMillis_ = ProcessingMillis;
  applyDigest(State, Digest, Start);
}

std::map<std::string, int> countChoices(const Fleet &State, HostChoice Choice) {
  Choice.Service_ = "s";
  std::map<std::string, int> Counts;
  std::uint64_t Random = 88172645463325252ULL;
  for (int Round = 0; Round < 1000; ++Round) {
    Random ^= Random << 13U;
    Random ^= Random >> 7U;
    Random ^= Random << 17U;
    if (const auto Host =
            chooseHost(State, Choice, HostChoiceOptions(), Random, Start))
      ++Counts[*Host];
  }
  return Counts;
}

UpstreamHeartbeat makeHeartbeat(const std::string &Upstream,
                                std::int64_t StartMillis,
                                std::uint64_t Sequence, bool Draining = false) {
  UpstreamHeartbeat Heartbeat;
  Heartbeat.Upstream_ = Upstream;
  Heartbeat.Service_ = "s";
  Heartbeat.Address_ = "a:1";
  Heartbeat.StartMillis_ = StartMillis;
  Heartbeat.Sequence_ = Sequence;
  Heartbeat.Draining_ = Draining;
  return Heartbeat;
}

HeartbeatResult receive(std::optional<UpstreamIncarnation> &Incarnation,
                        const UpstreamHeartbeat &Heartbeat) {
  return applyHeartbeat(Incarnation, Heartbeat, "s", "a:1", Start);
}

} // namespace

BOOST_AUTO_TEST_CASE(PrefersTheOwnZoneWhileItHasCapacity) {
  Fleet State;
  addHost(State, "near", "z1", 3);
  addHost(State, "far", "z2", 3);
  HostChoice Choice;
  Choice.OwnZone_ = "z1";
  BOOST_TEST(countChoices(State, Choice)["near"] == 1000);
}

BOOST_AUTO_TEST_CASE(AvoidsAnOverloadedHostInTheOwnZone) {
  Fleet State;
  addHost(State, "near", "z1", 40);
  addHost(State, "far", "z2", 3);
  HostChoice Choice;
  Choice.OwnZone_ = "z1";
  BOOST_TEST(countChoices(State, Choice)["far"] > 700);
}

/// The choice must not depend on processing time alone: an upstream that is
/// four times as fast would then be chosen until its load is three times its
/// slots.
BOOST_AUTO_TEST_CASE(DoesNotOverloadAFastUpstreamWhileOthersIdle) {
  Fleet State;
  addHost(State, "fast", "z1", 20, 50);
  addHost(State, "slow", "z1", 5, 200);
  HostChoice Choice;
  Choice.OwnZone_ = "z1";
  BOOST_TEST(countChoices(State, Choice)["slow"] > 700);
}

namespace {

/// Simulates six upstreams with processing times of 2.5 to 10 ms and 18 slots
/// each, two in each of three zones, at 60 % of their capacity. An entry daemon
/// beside each of them learns the loads from answers and from digests.
struct SpeedSimulation {
  static constexpr std::uint32_t Slots = 18;
  static constexpr int ArrivalMicros = 84;

  struct Upstream {
    std::uint32_t ProcessingMicros_ = 0;
    std::uint32_t Running_ = 0;
    double BusyMicros_ = 0;
  };
  struct RunningRequest {
    std::string Host_;
    std::string EntryHost_;
  };

  std::map<std::string, Upstream> Upstreams_;
  std::map<std::string, std::string> Zones_;
  std::map<std::string, Fleet> FleetOfEntry_;
  std::multimap<std::uint64_t, RunningRequest> RunningUntil_;
  std::uint64_t Random_ = 88172645463325252ULL;

  SpeedSimulation() {
    Upstreams_ = {{"a", {10000}}, {"b", {10000}}, {"c", {10000}},
                  {"d", {5000}},  {"e", {5000}},  {"f", {2500}}};
    Zones_ = {{"a", "z0"}, {"b", "z1"}, {"c", "z2"},
              {"d", "z0"}, {"e", "z1"}, {"f", "z2"}};
    for (const auto &[Entry, EntryZone] : Zones_)
      for (const auto &[Host, Zone] : Zones_)
        addHost(FleetOfEntry_[Entry], Host, Zone, 0,
                Upstreams_[Host].ProcessingMicros_ / 1000);
  }

  std::uint64_t nextRandom() {
    Random_ ^= Random_ << 13U;
    Random_ ^= Random_ >> 7U;
    Random_ ^= Random_ << 17U;
    return Random_;
  }

  void reportLoad(const std::string &Receiver, const std::string &Host) {
    const Upstream &Reported = Upstreams_[Host];
    LoadReport Load;
    Load.Running_ = Reported.Running_;
    Load.Slots_ = Slots;
    Load.ProcessingMillis_ = Reported.ProcessingMicros_ / 1000;
    applyLoadReport(*findMember(FleetOfEntry_[Receiver], Host), Load, Start);
  }

  void sendFrom(const std::string &EntryHost, std::uint64_t NowMicros) {
    HostChoice Choice;
    Choice.Service_ = "s";
    Choice.OwnZone_ = Zones_[EntryHost];
    HostChoiceOptions Options;
    Options.ZoneCost_ = milliseconds(1);
    reportLoad(EntryHost, EntryHost);
    Fleet &Known = FleetOfEntry_[EntryHost];
    const std::string Host =
        *chooseHost(Known, Choice, Options, nextRandom(), Start);
    FleetMember &Member = *findMember(Known, Host);
    ++Member.InFlight_;
    ++Member.SentSinceLoadUpdate_;
    Upstream &Target = Upstreams_[Host];
    ++Target.Running_;
    // Half of the processing time is constant, half uniformly distributed.
    const std::uint64_t Micros =
        Target.ProcessingMicros_ / 2 + nextRandom() % Target.ProcessingMicros_;
    Target.BusyMicros_ += static_cast<double>(Micros);
    RunningUntil_.insert({NowMicros + Micros, {Host, EntryHost}});
  }

  void finishNext() {
    const RunningRequest Finished = RunningUntil_.begin()->second;
    RunningUntil_.erase(RunningUntil_.begin());
    --Upstreams_[Finished.Host_].Running_;
    --findMember(FleetOfEntry_[Finished.EntryHost_], Finished.Host_)->InFlight_;
    reportLoad(Finished.EntryHost_, Finished.Host_);
  }

  void sendDigests() {
    for (const auto &[Receiver, Known] : FleetOfEntry_)
      for (const auto &[Host, Sender] : Upstreams_)
        reportLoad(Receiver, Host);
  }

  void run(std::uint64_t Arrivals) {
    constexpr std::uint64_t ArrivalsPerDigest = 250000 / ArrivalMicros;
    for (std::uint64_t Number = 0; Number < Arrivals; ++Number) {
      const std::uint64_t NowMicros = Number * ArrivalMicros;
      while (!RunningUntil_.empty() &&
             RunningUntil_.begin()->first <= NowMicros)
        finishNext();
      if (Number % ArrivalsPerDigest == 0)
        sendDigests();
      sendFrom(std::string(1, static_cast<char>('a' + nextRandom() % 6)),
               NowMicros);
    }
  }
};

} // namespace

/// Upstreams of different speed must be utilised evenly: the most utilised one
/// by at most a tenth more than the mean.
BOOST_AUTO_TEST_CASE(UtilisesUpstreamsOfDifferentSpeedEvenly) {
  constexpr std::uint64_t Arrivals = 30000;
  SpeedSimulation Simulation;
  Simulation.run(Arrivals);
  double Highest = 0;
  for (const auto &[Host, Upstream] : Simulation.Upstreams_)
    Highest = std::max(Highest, Upstream.BusyMicros_ / SpeedSimulation::Slots /
                                    Arrivals / SpeedSimulation::ArrivalMicros);
  BOOST_TEST(Highest <= 0.6 * 1.1);
}

/// The last digest shows a low load, but no response arrives.
BOOST_AUTO_TEST_CASE(AvoidsAnUpstreamThatDoesNotRespond) {
  Fleet State;
  addHost(State, "still", "z1", 3);
  addHost(State, "other", "z1", 9);
  findMember(State, "still")->InFlight_ = 18;
  HostChoice Choice;
  Choice.OwnZone_ = "z1";
  BOOST_TEST(countChoices(State, Choice)["other"] > 700);
}

/// Under overload, the queue of a host that gets all urgent requests is the
/// shortest, because they leave no room for others. It must not attract more.
BOOST_AUTO_TEST_CASE(SpreadsRequestsOverLongQueues) {
  Fleet State;
  addHost(State, "urgent", "z2", 300);
  addHost(State, "mixed", "z3", 530);
  HostChoice Choice;
  Choice.OwnZone_ = "z1";
  BOOST_TEST(countChoices(State, Choice)["mixed"] > 400);
  BOOST_TEST(countChoices(State, Choice)["urgent"] > 400);
}

/// A slow upstream in the own zone must not be chosen because both random
/// candidates are that upstream too. With four hosts that was one choice in 16.
BOOST_AUTO_TEST_CASE(ComparesDifferentHosts) {
  Fleet State;
  addHost(State, "slow", "z1", 18);
  addHost(State, "b", "z2", 9);
  addHost(State, "c", "z3", 9);
  addHost(State, "d", "z4", 9);
  HostChoice Choice;
  Choice.OwnZone_ = "z1";
  BOOST_TEST(countChoices(State, Choice)["slow"] == 0);
}

BOOST_AUTO_TEST_CASE(ExcludesEvacuatedZonesAndTriedHosts) {
  Fleet State;
  addHost(State, "a", "z1", 3);
  addHost(State, "b", "z1", 3);
  addHost(State, "c", "z3", 3);
  State.EvacuatedZones_ = {"z3"};
  HostChoice Choice;
  Choice.OwnZone_ = "z1";
  Choice.Tried_ = {"a"};
  BOOST_TEST(countChoices(State, Choice)["b"] == 1000);
  Choice.Tried_ = {"a", "b"};
  BOOST_TEST(countChoices(State, Choice).empty());
}

BOOST_AUTO_TEST_CASE(IgnoresStaleDigests) {
  Fleet State;
  addHost(State, "a", "z1", 3);
  LoadDigest StaleDigest;
  StaleDigest.Host_ = "a";
  StaleDigest.Process_ = 1;
  StaleDigest.Sequence_ = 1;
  StaleDigest.Running_ = 99;
  applyDigest(State, StaleDigest, Start);
  BOOST_TEST(findMember(State, "a")->Digest_.Running_ == 3U);
}

/// A connection that is opened while a daemon closes its port may be reset, so
/// that the outcome of its request is unknown though it has not run.
BOOST_AUTO_TEST_CASE(HostIsChosenWhileItsDaemonClosesItsPort) {
  Fleet State;
  addHost(State, "a", "z", 0);
  LoadDigest Digest = findMember(State, "a")->Digest_;
  Digest.Stopping_ = true;
  ++Digest.Sequence_;
  applyDigest(State, Digest, Start);
  // It still runs requests.
  BOOST_TEST(countChoices(State, HostChoice())["a"] == 1000);
  Digest.Accepting_ = false;
  ++Digest.Sequence_;
  applyDigest(State, Digest, Start);
  BOOST_TEST(countChoices(State, HostChoice()).empty());
  const FleetMember &Member = *findMember(State, "a");
  BOOST_TEST(isAboutToEnd(Member, Start));
  BOOST_TEST(isAboutToEnd(Member, Start + milliseconds(5900)));
  BOOST_TEST(!isAboutToEnd(Member, Start + milliseconds(6100)));
}

/// The next process of a daemon takes requests before its first digest.
BOOST_AUTO_TEST_CASE(NextProcessIsNotAboutToEnd) {
  Fleet State;
  addHost(State, "a", "z", 0);
  FleetMember &Member = *findMember(State, "a");
  Member.Digest_.Stopping_ = true;
  Member.Digest_.Accepting_ = false;
  MemberRecord Record = Member.Record_;
  Record.Process_ = 2;
  applyRecord(State, Record, Start);
  BOOST_TEST(!isAboutToEnd(Member, Start));
}

BOOST_AUTO_TEST_CASE(EncodesAndDecodesDigests) {
  LoadDigest Digest;
  Digest.Host_ = "host-1";
  Digest.Process_ = 1ULL << 62U;
  Digest.KeyEpoch_ = 9;
  Digest.TableEnd_ = 77;
  Digest.Stopping_ = true;
  const std::string Message = encodeDigest(Digest);
  const std::optional<LoadDigest> Decoded =
      decodeDigest(Message.data(), Message.size());
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->Host_ == "host-1");
  BOOST_TEST(Decoded->Process_ == Digest.Process_);
  BOOST_TEST(Decoded->TableEnd_ == 77U);
  BOOST_TEST(Decoded->Stopping_);
  // Without its second array, it is a digest of the version before.
  std::size_t Accepted = 0;
  for (std::size_t Size = 0; Size < Message.size(); ++Size)
    if (decodeDigest(Message.data(), Size))
      ++Accepted;
  BOOST_TEST(Accepted == 1U);
}

/// Daemons of the version before must be understood, and understand these.
BOOST_AUTO_TEST_CASE(WorkReportIsLostOrBreaksADigest) {
  LoadDigest Digest;
  Digest.Host_ = "sidecar-kv-central-a-16";
  Digest.Process_ = 1ULL << 62U;
  Digest.Sequence_ = 100000;
  Digest.TableEnd_ = 100000;
  Digest.Work_ = {150, 480, 12, 30000, {0, 20, 400, 70000}};
  const std::string Plain = encodeDigest(Digest);
  BOOST_TEST(Plain.size() < 100U);
  Digest.HotKeys_ = {{24068, 40, 180}, {LastKey, 7, 9}};
  const std::string Message = encodeDigest(Digest);
  const std::optional<LoadDigest> Decoded =
      decodeDigest(Message.data(), Message.size());
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST((Decoded->Work_ == Digest.Work_));
  BOOST_TEST((Decoded->HotKeys_ == Digest.HotKeys_));
  const std::string Unknown = Plain + '\x01';
  BOOST_TEST(decodeDigest(Unknown.data(), Unknown.size()).has_value());
}

BOOST_AUTO_TEST_CASE(IgnoresStaleAndMismatchedHeartbeats) {
  std::optional<UpstreamIncarnation> Incarnation;
  BOOST_TEST((receive(Incarnation, makeHeartbeat("i", 100, 5)) ==
              HeartbeatResult::Accepted));
  BOOST_TEST((receive(Incarnation, makeHeartbeat("i", 100, 4, true)) ==
              HeartbeatResult::Stale));
  BOOST_TEST(!Incarnation->Draining_);
  BOOST_TEST((receive(Incarnation, makeHeartbeat("j", 90, 9, true)) ==
              HeartbeatResult::Stale));
  UpstreamHeartbeat Foreign = makeHeartbeat("k", 200, 1);
  Foreign.Address_ = "other:1";
  BOOST_TEST((receive(Incarnation, Foreign) == HeartbeatResult::Mismatched));
  BOOST_TEST(Incarnation->LastHeartbeat_.Upstream_ == "i");
}

BOOST_AUTO_TEST_CASE(DetectsANewIncarnationWithTheSameId) {
  std::optional<UpstreamIncarnation> Incarnation;
  receive(Incarnation, makeHeartbeat("i", 100, 50, true));
  BOOST_TEST(
      (localUpstream(Incarnation).State_ == LocalUpstream::State::Draining));
  BOOST_TEST((receive(Incarnation, makeHeartbeat("i", 200, 1)) ==
              HeartbeatResult::Accepted));
  BOOST_TEST(
      (localUpstream(Incarnation).State_ == LocalUpstream::State::Serving));
  BOOST_TEST(localUpstream(Incarnation).StartMillis_ == 200);
}

BOOST_AUTO_TEST_CASE(DeregisteredIncarnationKeepsDraining) {
  std::optional<UpstreamIncarnation> Incarnation;
  receive(Incarnation, makeHeartbeat("i", 100, 1));
  BOOST_TEST(!applyDeregistration(Incarnation, "other"));
  BOOST_TEST(applyDeregistration(Incarnation, "i"));
  receive(Incarnation, makeHeartbeat("i", 100, 2));
  BOOST_TEST(!acceptsRequests(Incarnation));
}

/// A daemon that has just started acknowledges a deregistration. It then
/// receives delayed heartbeats of that incarnation and heartbeats of the next.
BOOST_AUTO_TEST_CASE(AppliesADeregistrationBeforeTheFirstHeartbeat) {
  const std::optional<EarlyDeregistration> Deregistration =
      EarlyDeregistration{"u1", milliseconds(5000)};
  BOOST_TEST(wasDeregistered(Deregistration, makeHeartbeat("u1", 1000, 60)));
  BOOST_TEST(!wasDeregistered(Deregistration, makeHeartbeat("u1", 6000, 1)));
  BOOST_TEST(!wasDeregistered(Deregistration, makeHeartbeat("u2", 1000, 60)));
  BOOST_TEST(!wasDeregistered(std::nullopt, makeHeartbeat("u1", 1000, 60)));
}

namespace {

/// Creates a site with its services assigned to the hosts in turn, in several
/// zones.
Fleet makeFleet(std::size_t Hosts, std::size_t Services, std::size_t Zones) {
  Fleet State;
  for (std::size_t Index = 0; Index < Hosts; ++Index) {
    MemberRecord Record;
    Record.Host_ = "h" + std::to_string(Index);
    Record.Service_ = "s" + std::to_string(Index % Services);
    Record.Zone_ = "z" + std::to_string(Index / Services % Zones);
    applyRecord(State, Record, Start);
  }
  return State;
}

std::size_t recipientCount(const Fleet &State, const std::string &Host,
                           bool Sharded) {
  return digestRecipients(State, Host, Sharded, DigestSampleOptions()).size();
}

} // namespace

BOOST_AUTO_TEST_CASE(SendsDigestsToAllHostsOfASmallSite) {
  const Fleet State = makeFleet(18, 3, 3);
  for (const auto &[Host, Member] : State.Members_)
    BOOST_TEST(recipientCount(State, Host, false) == 17U);
}

/// With 290 hosts for each of three services, the number of digests that a host
/// sends must not grow with the site, and each daemon must know the load of at
/// least two hosts.
BOOST_AUTO_TEST_CASE(SendsDigestsToASampleOfALargeSite) {
  const Fleet State = makeFleet(870, 3, 11);
  std::map<std::string, std::set<std::string>> DigestSources;
  std::size_t Largest = 0;
  for (const auto &[Host, Member] : State.Members_) {
    const std::vector<const MemberRecord *> Recipients =
        digestRecipients(State, Host, false, DigestSampleOptions());
    Largest = std::max(Largest, Recipients.size());
    if (Member.Record_.Service_ == "s0")
      for (const MemberRecord *Recipient : Recipients)
        DigestSources[Recipient->Host_].insert(Host);
  }
  BOOST_TEST(Largest <= 60U);
  for (const auto &[Host, Member] : State.Members_)
    BOOST_TEST(DigestSources[Host].size() +
                   (Member.Record_.Service_ == "s0" ? 1 : 0) >=
               2U);
}

BOOST_AUTO_TEST_CASE(SendsDigestsToAllHostsOfAShardedService) {
  const Fleet State = makeFleet(90, 2, 5);
  const std::vector<const MemberRecord *> Recipients =
      digestRecipients(State, "h0", true, DigestSampleOptions());
  const auto Same = std::count_if(Recipients.begin(), Recipients.end(),
                                  [](const MemberRecord *Recipient) {
                                    return Recipient->Service_ == "s0";
                                  });
  BOOST_TEST(Same == 44);
  BOOST_TEST(Recipients.size() <= 44U + 15U);
}

/// A host with a longer digest interval must not time out earlier.
BOOST_AUTO_TEST_CASE(DigestTimeoutFollowsTheDigestInterval) {
  Fleet State;
  addHost(State, "a", "z1", 3);
  LoadDigest Digest;
  Digest.Host_ = "a";
  Digest.Process_ = 1;
  Digest.Sequence_ = 2;
  Digest.IntervalMillis_ = 1000;
  applyDigest(State, Digest, Start);
  const FleetMember &Member = *findMember(State, "a");
  BOOST_TEST(
      hasRecentDigest(Member, milliseconds(1500), Start + milliseconds(2900)));
  BOOST_TEST(
      !hasRecentDigest(Member, milliseconds(1500), Start + milliseconds(3100)));
}

/// On a large site, a daemon that has just started took hosts for failed before
/// their first digest was due.
BOOST_AUTO_TEST_CASE(HostWithoutDigestsIsSilentForTheUsualDigestInterval) {
  constexpr milliseconds Interval(2800);
  Fleet State;
  MemberRecord Record;
  Record.Host_ = "new";
  applyRecord(State, Record, Start);
  addHost(State, "own", "z1", 3);
  LoadDigest Digest;
  Digest.Host_ = "own";
  Digest.Process_ = 1;
  Digest.Sequence_ = 2;
  Digest.IntervalMillis_ = Interval.count();
  applyDigest(State, Digest, Start);
  const FleetMember *Own = findMember(State, "own");
  BOOST_TEST((contactTimeout(findMember(State, "new"), Own) >= Interval * 2));
  BOOST_TEST((contactTimeout(nullptr, Own) >= Interval * 2));
  BOOST_TEST((contactTimeout(nullptr, nullptr) == Duration::zero()));
}

/// A daemon that was suspended for longer than the timeouts of all hosts took
/// them for failed when it continued.
BOOST_AUTO_TEST_CASE(HostsAreNotSilentWhileThisDaemonIsSuspended) {
  Fleet State;
  addHost(State, "a", "z1", 3);
  const FleetMember &Member = *findMember(State, "a");
  ContactClock Contact{Start, Start};
  Instant Now = Start;
  for (int Tick = 0; Tick < 20; ++Tick)
    tickContactClock(Contact, Now += milliseconds(50));
  BOOST_TEST((silenceOf(Contact, Member, Now) == milliseconds(1000)));
  tickContactClock(Contact, Now += std::chrono::seconds(9));
  BOOST_TEST((silenceOf(Contact, Member, Now) == Duration::zero()));
}

/// The process of a daemon without digests is known from its member record.
BOOST_AUTO_TEST_CASE(UpdatesTheProcessFromRecordsAndDigests) {
  Fleet State;
  MemberRecord Record;
  Record.Host_ = "a";
  Record.Process_ = 5;
  applyRecord(State, Record, Start);
  BOOST_TEST(findMember(State, "a")->Process_ == 5U);
  LoadDigest Digest;
  Digest.Host_ = "a";
  Digest.Process_ = 6;
  Digest.Sequence_ = 1;
  applyDigest(State, Digest, Start);
  BOOST_TEST(findMember(State, "a")->Process_ == 6U);
  applyRecord(State, Record, Start);
  BOOST_TEST(findMember(State, "a")->Process_ == 6U);
  Record.Process_ = 7;
  applyRecord(State, Record, Start);
  BOOST_TEST(findMember(State, "a")->Process_ == 7U);
  BOOST_TEST(decodeMember(encodeMember(Record))->Process_ == 7U);
}

/// Responses report the load of hosts that send this daemon no digests.
BOOST_AUTO_TEST_CASE(UsesLoadReportsForTheHostChoice) {
  Fleet State;
  addHost(State, "near", "z1", 3);
  addHost(State, "far", "z2", 3);
  FleetMember &Member = *findMember(State, "near");
  LoadReport Load;
  Load.Running_ = 18;
  Load.Queued_ = 30;
  Load.Slots_ = 18;
  Load.ProcessingMillis_ = 100;
  applyLoadReport(Member, Load, Start);
  HostChoice Choice;
  Choice.OwnZone_ = "z1";
  BOOST_TEST(countChoices(State, Choice)["far"] > 700);
  BOOST_TEST(
      hasRecentLoad(Member, milliseconds(500), Start + milliseconds(400)));
}

} // namespace lagoonhitch

/// \file
/// Tests of the choice of hosts by many entry daemons with old load reports.

#define BOOST_TEST_MODULE herd
#include "bench/decisions/service_simulation.h"
#include "routing/host_choice.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>

namespace lagoonhitch {

namespace {

const Instant Start{std::chrono::hours(1)};

/// A site with a shared service whose requests enter in three of five zones.
ServiceSimulationOptions siteOptions(std::size_t Daemons, std::size_t Upstreams,
                                     std::chrono::milliseconds DigestInterval,
                                     std::uint64_t Seed) {
  constexpr double Load = 0.8;
  constexpr std::uint32_t Slots = 16;
  constexpr std::chrono::milliseconds ProcessingTime{200};
  FakeUpstreamOptions Upstream;
  Upstream.Slots_ = Slots;
  Upstream.MeanProcessingTime_ = ProcessingTime;
  ServiceSimulationOptions Options;
  Options.Upstreams_.assign(Upstreams, Upstream);
  Options.Daemons_ = Daemons;
  Options.Zones_ = 5;
  Options.CallerZones_ = 3;
  Options.ZoneCost_ = HostChoiceOptions().ZoneCost_;
  Options.DigestInterval_ = DigestInterval;
  Options.SampleDigests_ = true;
  Options.Rate_ = Load * static_cast<double>(Upstreams) * Slots /
                  std::chrono::duration<double>(ProcessingTime).count();
  Options.Seed_ = Seed;
  return Options;
}

/// Returns the arrivals at the busiest upstream in 10 s, divided by the mean:
/// the highest such ratio of several seeds.
double busiestToMean(std::size_t Daemons, std::size_t Upstreams,
                     std::chrono::milliseconds DigestInterval) {
  constexpr std::uint64_t Seeds = 3;
  double Highest = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Highest = std::max(
        Highest,
        simulateService(siteOptions(Daemons, Upstreams, DigestInterval, Seed))
            .BusiestToMean_);
  return Highest;
}

void addIdleHost(Fleet &State, const std::string &Host) {
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
  Digest.Slots_ = 16;
  applyDigest(State, Digest, Start);
}

} // namespace

/// Entry daemons that see the same old load report must not all send to the
/// upstream that looks best.
BOOST_AUTO_TEST_CASE(SpreadsRequestsOfManyEntryDaemons) {
  BOOST_TEST(busiestToMean(88, 34, std::chrono::seconds(1)) <= 1.15);
  BOOST_TEST(busiestToMean(194, 75, std::chrono::seconds(1)) <= 1.25);
}

/// The requests that other entry daemons have sent since the last load report
/// must be considered too.
BOOST_AUTO_TEST_CASE(SpreadsRequestsBetweenFrequentReports) {
  BOOST_TEST(busiestToMean(88, 34, std::chrono::milliseconds(200)) <= 1.15);
}

/// Entry daemons without any requests in flight see upstreams of equal cost.
/// They must not all choose the first by name.
BOOST_AUTO_TEST_CASE(DoesNotPreferAHostByItsName) {
  constexpr int Hosts = 8;
  constexpr int Choices = 8000;
  Fleet State;
  for (int Number = 0; Number < Hosts; ++Number)
    addIdleHost(State, "h" + std::to_string(Number));
  HostChoice Choice;
  Choice.Service_ = "s";
  Choice.OwnZone_ = "z1";
  std::mt19937_64 Random(1);
  std::map<std::string, int> Counts;
  for (int Number = 0; Number < Choices; ++Number)
    ++Counts[*chooseHost(State, Choice, HostChoiceOptions(), Random(), Start)];
  for (int Number = 0; Number < Hosts; ++Number) {
    const std::string Host = "h" + std::to_string(Number);
    BOOST_TEST(Counts[Host] > 0.8 * Choices / Hosts, Host);
    BOOST_TEST(Counts[Host] < 1.2 * Choices / Hosts, Host);
  }
}

} // namespace lagoonhitch

/// \file
/// Tests of a complete site of separate processes under load and faults. They
/// check the recorded histories and that all calls succeed again, not timings.

#define BOOST_TEST_MODULE process
#include "net/address.h"
#include "tests/process/site_fixture.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

BOOST_AUTO_TEST_CASE(OwnerIsKilled) {
  SiteFixture Fixture;
  Fixture.startLoad();
  const std::uint32_t Owner = Fixture.findOwner();
  Fixture.Site_.daemon(Owner).signal(SIGKILL);
  sleepFor(seconds(4));
  Fixture.Site_.daemon(Owner).wait();
  Fixture.Site_.restartDaemon(Owner);
  sleepFor(seconds(3));
  Fixture.finishAndCheck();
  BOOST_TEST(Fixture.countRecentlyFailed(milliseconds(500)) == 0U);
}

/// The lease expires while the daemon is suspended. Its upstream keeps running,
/// but nothing renews its holds.
BOOST_AUTO_TEST_CASE(OwnerIsSuspendedPastItsLease) {
  SiteFixture Fixture;
  Fixture.suspendOwner(seconds(13));
}

/// The daemon is suspended for less than its lease: connections stall, but the
/// host keeps its keys.
BOOST_AUTO_TEST_CASE(OwnerIsSuspendedWithinItsLease) {
  SiteFixture Fixture;
  Fixture.suspendOwner(milliseconds(500));
}

/// The daemon keeps running, but its upstream does not respond, so the
/// upstream's holds expire.
BOOST_AUTO_TEST_CASE(UpstreamIsSuspended) {
  SiteFixture Fixture;
  Fixture.startLoad();
  const std::uint32_t Owner = Fixture.findOwner();
  Fixture.Site_.upstream(Owner).signal(SIGSTOP);
  sleepFor(seconds(6));
  Fixture.Site_.upstream(Owner).signal(SIGCONT);
  sleepFor(seconds(4));
  Fixture.finishAndCheck();
  BOOST_TEST(Fixture.countRecentlyFailed(milliseconds(500)) == 0U);
}

BOOST_AUTO_TEST_CASE(UpstreamIsKilledAndRestarted) {
  SiteFixture Fixture;
  Fixture.startLoad();
  const std::uint32_t Owner = Fixture.findOwner();
  Fixture.Site_.restartUpstream(Owner);
  sleepFor(seconds(4));
  Fixture.finishAndCheck();
  BOOST_TEST(Fixture.countRecentlyFailed(milliseconds(500)) == 0U);
}

BOOST_AUTO_TEST_CASE(DrainingUpstreamGetsNoNewRequests) {
  SiteFixture Fixture;
  Fixture.startLoad();
  const std::uint32_t Owner = Fixture.findOwner();
  Fixture.Site_.setUpstreamMode(Owner, {{"draining", true}});
  sleepFor(seconds(2));
  const Instant DrainedSince = Fixture.Time_.now();
  sleepFor(seconds(2));
  Fixture.finishAndCheck();
  const std::string Name = "katalog-h" + std::to_string(Owner) + "-1";
  for (const LoadGenerator::Call &Call : Fixture.Load_->calls())
    if (Call.SentAt_ > DrainedSince)
      BOOST_TEST(Call.Instance_ != Name);
  BOOST_TEST(Fixture.countRecentlyFailed(milliseconds(500)) == 0U);
}

BOOST_AUTO_TEST_CASE(AllDaemonsAreKilledAtOnce) {
  SiteFixture Fixture;
  Fixture.startLoad();
  for (std::uint32_t Host = 0; Host < 6; ++Host)
    Fixture.Site_.daemon(Host).signal(SIGKILL);
  for (std::uint32_t Host = 0; Host < 6; ++Host) {
    Fixture.Site_.daemon(Host).wait();
    Fixture.Site_.restartDaemon(Host);
    Fixture.Site_.startHeartbeats(Host);
  }
  sleepFor(seconds(6));
  Fixture.finishAndCheck();
  BOOST_TEST(Fixture.countRecentlyFailed(milliseconds(500)) == 0U);
}

/// The network drops all traffic on open connections between daemons without
/// closing them. No request may be lost, executed twice if it is not
/// idempotent, or end with an unknown outcome.
BOOST_AUTO_TEST_CASE(TrafficBetweenDaemonsIsDropped) {
  SiteOptions Options;
  Options.UseRelays_ = true;
  SiteFixture Fixture(Options);
  Fixture.startLoad();
  for (int Round = 0; Round < 4; ++Round) {
    for (std::uint32_t Host = 0; Host < Options.Hosts_; ++Host)
      Fixture.Site_.dropTrafficTo(Host);
    sleepFor(milliseconds(700));
  }
  Fixture.finishAndCheck();
  Fixture.checkAllRan();
}

/// The store is down for less than the lease and then loses two responses. All
/// keys must be served throughout.
BOOST_AUTO_TEST_CASE(StoreIsDownWithinTheLease) {
  SiteFixture Fixture;
  Fixture.startLoad();
  const Instant OutageStart = Fixture.Time_.now();
  Fixture.Site_.setStoreMode({{"down", true}});
  sleepFor(seconds(4));
  Fixture.Site_.setStoreMode({{"down", false}, {"lose_answers", 2}});
  sleepFor(seconds(3));
  Fixture.finishAndCheck();
  BOOST_TEST(Fixture.countFailed(OutageStart, Fixture.Time_.now()) == 0U);
}

BOOST_AUTO_TEST_CASE(OwnerIsKilledWhileStoreAppendsLate) {
  SiteFixture Fixture;
  Fixture.startLoad();
  const std::uint32_t Owner = Fixture.findOwner();
  Fixture.Site_.setStoreMode({{"act_late_ms", 1500}});
  sleepFor(milliseconds(500));
  Fixture.Site_.daemon(Owner).signal(SIGKILL);
  Fixture.Site_.daemon(Owner).wait();
  sleepFor(seconds(2));
  Fixture.Site_.setStoreMode({{"act_late_ms", 0}});
  Fixture.Site_.restartDaemon(Owner);
  sleepFor(seconds(6));
  Fixture.finishAndCheck();
  BOOST_TEST(Fixture.countRecentlyFailed(milliseconds(500)) == 0U);
}

BOOST_AUTO_TEST_CASE(GracefulShutdownFailsNoRequest) {
  SiteFixture Fixture;
  Fixture.startLoad();
  const std::uint32_t Owner = Fixture.findOwner();
  Fixture.Site_.daemon(Owner).signal(SIGTERM);
  BOOST_TEST(Fixture.Site_.daemon(Owner).wait() == 0);
  sleepFor(seconds(2));
  Fixture.finishAndCheck();
  Fixture.checkAllRan();
}

/// Requests may be on their way between two daemons that both stop.
BOOST_AUTO_TEST_CASE(GracefulShutdownOfSeveralDaemonsFailsNoRequest) {
  SiteFixture Fixture;
  LoadGeneratorOptions Load;
  Load.Workers_ = 32;
  Fixture.startLoad(Load);
  const std::uint32_t Owner = Fixture.findOwner();
  const std::vector<std::uint32_t> Stopped = {Owner, 3, 5};
  for (const std::uint32_t Host : Stopped)
    Fixture.Site_.daemon(Host).signal(SIGTERM);
  for (const std::uint32_t Host : Stopped)
    BOOST_TEST(Fixture.Site_.daemon(Host).wait() == 0);
  sleepFor(seconds(2));
  Fixture.finishAndCheck();
  Fixture.checkAllRan();
}

/// A request that a peer sent on an open connection may arrive after the last
/// other one has been answered. It must not be lost with the connection.
BOOST_AUTO_TEST_CASE(StoppingDaemonAnswersLateRequestsOfPeers) {
  SiteOptions Options;
  Options.UseRelays_ = true;
  SiteFixture Fixture(Options);
  constexpr std::uint32_t Host = 2;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Peer(Context);
  Peer.connect(parseEndpoint(Fixture.Site_.relay(Host).address()));
  Fixture.Site_.daemon(Host).signal(SIGTERM);
  sleepFor(milliseconds(2600));
  const std::string Request = "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n";
  boost::asio::write(Peer, boost::asio::buffer(Request));
  std::string Response(8, '\0');
  boost::system::error_code Failure;
  boost::asio::read(Peer, boost::asio::buffer(Response), Failure);
  BOOST_TEST(Response == "HTTP/1.1");
  BOOST_TEST(Fixture.Site_.daemon(Host).wait() == 0);
}

/// The connection of a request that is not idempotent breaks while it runs, and
/// the daemon beside the upstream is stopped. The result must not be lost.
BOOST_AUTO_TEST_CASE(StoppingDaemonReportsResultsAfterConnectionsBroke) {
  SiteOptions Options;
  Options.UseRelays_ = true;
  SiteFixture Fixture(Options);
  Fixture.startLoad();
  for (std::uint32_t Host = 0; Host < Options.Hosts_; ++Host)
    Fixture.Site_.setUpstreamMode(Host, {{"service_us", 3200000}});
  sleepFor(milliseconds(100));
  const std::uint32_t Owner = Fixture.findOwner();
  Fixture.Site_.daemon(Owner).signal(SIGTERM);
  for (std::uint32_t Host = 0; Host < Options.Hosts_; ++Host)
    Fixture.Site_.relay(Host).reset();
  Fixture.Load_->finish();
  for (const LoadGenerator::Call &Call : Fixture.Load_->calls())
    if (Call.Target_.ends_with("/orders"))
      BOOST_TEST((Call.Outcome_ == Outcome::Ran),
                 Call.Target_ << " was answered " << Call.Status_ << " "
                              << outcomeName(Call.Outcome_));
  BOOST_TEST(Fixture.Site_.daemon(Owner).wait() == 0);
}

} // namespace lagoonhitch

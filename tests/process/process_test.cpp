/// \file
/// Tests of a complete site of separate processes under load and faults. They
/// check the recorded histories and that all calls succeed again, not timings.

#define BOOST_TEST_MODULE process
#include "platform/monotonic_clock.h"
#include "tests/history/checker.h"
#include "tests/process/load_generator.h"
#include "tests/process/run_files.h"
#include "tests/process/site.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds StartTimeout{20};

const MonotonicClock Time;

void sleepFor(milliseconds Span) { std::this_thread::sleep_for(Span); }

/// A site under load from callers that use the daemons of hosts 0 and 1.
struct SiteFixture {
  explicit SiteFixture(const SiteOptions &Options = SiteOptions())
      : Site_(Time, Options) {
    BOOST_REQUIRE(Site_.waitUntilServing(StartTimeout));
  }

  /// Starts the load and lets it run for a moment.
  void startLoad() {
    LoadGeneratorOptions Options;
    Options.Addresses_ = {Site_.callersAddress(0), Site_.callersAddress(1)};
    Load_ = std::make_unique<LoadGenerator>(Time, Options);
    sleepFor(milliseconds(500));
  }

  /// Returns a host that owns a key and whose daemon the callers don't use.
  std::uint32_t findOwner() const {
    for (int Number = 0; Number < 500; ++Number) {
      const std::uint32_t Owner =
          Site_.ownerOf(0, "k" + std::to_string(Number));
      if (Owner > 1)
        return Owner;
    }
    BOOST_FAIL("hosts 0 and 1 own all keys");
    return 0;
  }

  /// Suspends the daemon of an owner for a time under load. All calls must
  /// succeed again afterwards.
  void suspendOwner(milliseconds Span) {
    startLoad();
    const std::uint32_t Owner = findOwner();
    Site_.daemon(Owner).signal(SIGSTOP);
    sleepFor(Span);
    Site_.daemon(Owner).signal(SIGCONT);
    sleepFor(seconds(3));
    finishAndCheck();
    BOOST_TEST(countRecentlyFailed(milliseconds(500)) == 0U);
  }

  /// Stops the load and checks the history of calls and executions.
  void finishAndCheck() {
    Load_->finish();
    History Events;
    Events.Answers_ = Load_->answers();
    addRuns(Site_.runFiles(), Events);
    BOOST_TEST_MESSAGE(Events.Answers_.size()
                       << " answers, " << Events.Runs_.size() << " runs");
    BOOST_TEST(Events.Answers_.size() > 500U);
    const Violations Found = checkAll(Events);
    for (const std::string &Violation : Found)
      BOOST_ERROR(Violation);
  }

  /// Returns the number of calls sent between two times whose outcome is not
  /// Ran.
  std::size_t countFailed(Instant From, Instant To) const {
    const std::vector<LoadGenerator::Call> &Calls = Load_->calls();
    return static_cast<std::size_t>(
        std::count_if(Calls.begin(), Calls.end(),
                      [From, To](const LoadGenerator::Call &Call) {
                        return Call.SentAt_ > From && Call.SentAt_ <= To &&
                               Call.Outcome_ != Outcome::Ran;
                      }));
  }

  /// Returns the number of calls sent in the last part of the load whose
  /// outcome is not Ran.
  std::size_t countRecentlyFailed(milliseconds Span) const {
    const Instant End = Load_->calls().back().AnsweredAt_;
    return countFailed(End - Span, End);
  }

  Site Site_;
  std::unique_ptr<LoadGenerator> Load_;
};

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
  const Instant DrainedSince = Time.now();
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
  for (const LoadGenerator::Call &Call : Fixture.Load_->calls())
    BOOST_TEST((Call.Outcome_ == Outcome::Ran),
               Call.Target_ << " was answered " << Call.Status_ << " "
                            << outcomeName(Call.Outcome_));
}

/// The store is down for less than the lease and then loses two responses. All
/// keys must be served throughout.
BOOST_AUTO_TEST_CASE(StoreIsDownWithinTheLease) {
  SiteFixture Fixture;
  Fixture.startLoad();
  const Instant OutageStart = Time.now();
  Fixture.Site_.setStoreMode({{"down", true}});
  sleepFor(seconds(4));
  Fixture.Site_.setStoreMode({{"down", false}, {"lose_answers", 2}});
  sleepFor(seconds(3));
  Fixture.finishAndCheck();
  BOOST_TEST(Fixture.countFailed(OutageStart, Time.now()) == 0U);
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
  for (const LoadGenerator::Call &Call : Fixture.Load_->calls())
    BOOST_TEST((Call.Outcome_ == Outcome::Ran),
               Call.Target_ << " was answered " << Call.Status_ << " "
                            << outcomeName(Call.Outcome_));
}

} // namespace lagoonhitch

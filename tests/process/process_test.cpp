/// \file
/// What only whole processes show. Histories are asserted, not timings.

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

constexpr seconds StartLimit{20};

const MonotonicClock Time;

void sleepFor(milliseconds Span) { std::this_thread::sleep_for(Span); }

/// A site under load from callers that use some of its daemons.
struct Stage {
  explicit Stage(const SiteOptions &Options = SiteOptions())
      : Site_(Time, Options) {
    BOOST_REQUIRE(Site_.waitUntilServing(StartLimit));
  }

  /// Callers use the daemons of hosts 0 and 1.
  void startCallers() {
    CallLoadOptions Options;
    Options.Addresses_ = {Site_.callers(0), Site_.callers(1)};
    Load_ = std::make_unique<CallLoad>(Time, Options);
    sleepFor(milliseconds(500));
  }

  /// A host that the callers do not use and that owns a key.
  std::uint32_t victim() const {
    for (int Number = 0; Number < 500; ++Number) {
      const std::uint32_t Owner =
          Site_.ownerOf(0, "k" + std::to_string(Number));
      if (Owner > 1)
        return Owner;
    }
    BOOST_FAIL("no other host owns a key");
    return 0;
  }

  /// Stops an owner's daemon for a while, under load.
  void freezeOwner(milliseconds Span) {
    startCallers();
    const std::uint32_t Victim = victim();
    Site_.daemon(Victim).signal(SIGSTOP);
    sleepFor(Span);
    Site_.daemon(Victim).signal(SIGCONT);
    sleepFor(seconds(3));
    finish();
    BOOST_TEST(notRunLately(milliseconds(500)) == 0U);
  }

  void finish() {
    Load_->finish();
    History Events;
    Events.Answers_ = Load_->answers();
    addRuns(Site_.runFiles(), Events);
    BOOST_TEST_MESSAGE(Events.Answers_.size()
                       << " answers, " << Events.Runs_.size() << " runs");
    BOOST_TEST(Events.Answers_.size() > 500U);
    const Violations Found = checkAll(Events);
    for (const std::string &One : Found)
      BOOST_ERROR(One);
  }

  /// Counts the calls sent in a span that did not run.
  std::size_t notRunBetween(Instant From, Instant To) const {
    const std::vector<CallLoad::Call> &Calls = Load_->calls();
    return static_cast<std::size_t>(std::count_if(
        Calls.begin(), Calls.end(), [From, To](const CallLoad::Call &One) {
          return One.SentAt_ > From && One.SentAt_ <= To &&
                 One.Outcome_ != Outcome::Ran;
        }));
  }

  /// Counts the last calls that did not run.
  std::size_t notRunLately(milliseconds Span) const {
    const Instant End = Load_->calls().back().AnsweredAt_;
    return notRunBetween(End - Span, End);
  }

  Site Site_;
  std::unique_ptr<CallLoad> Load_;
};

} // namespace

BOOST_AUTO_TEST_CASE(OwnerIsKilled) {
  Stage Play;
  Play.startCallers();
  const std::uint32_t Victim = Play.victim();
  Play.Site_.daemon(Victim).signal(SIGKILL);
  sleepFor(seconds(4));
  Play.Site_.daemon(Victim).wait();
  Play.Site_.restartDaemon(Victim);
  sleepFor(seconds(3));
  Play.finish();
  BOOST_TEST(Play.notRunLately(milliseconds(500)) == 0U);
}

BOOST_AUTO_TEST_CASE(OwnerIsStoppedPastItsLease) {
  Stage Play;
  Play.freezeOwner(seconds(13));
}

/// Shorter than the lease: links go silent, ownership stays.
BOOST_AUTO_TEST_CASE(OwnerIsStoppedShortly) {
  Stage Play;
  Play.freezeOwner(milliseconds(500));
}

/// Its upstream keeps running, but nobody renews its holds.
BOOST_AUTO_TEST_CASE(UpstreamIsFrozen) {
  Stage Play;
  Play.startCallers();
  const std::uint32_t Victim = Play.victim();
  Play.Site_.upstream(Victim).signal(SIGSTOP);
  sleepFor(seconds(6));
  Play.Site_.upstream(Victim).signal(SIGCONT);
  sleepFor(seconds(4));
  Play.finish();
  BOOST_TEST(Play.notRunLately(milliseconds(500)) == 0U);
}

BOOST_AUTO_TEST_CASE(UpstreamIsKilledAndComesBack) {
  Stage Play;
  Play.startCallers();
  const std::uint32_t Victim = Play.victim();
  Play.Site_.restartUpstream(Victim);
  sleepFor(seconds(4));
  Play.finish();
  BOOST_TEST(Play.notRunLately(milliseconds(500)) == 0U);
}

BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNothingNew) {
  Stage Play;
  Play.startCallers();
  const std::uint32_t Victim = Play.victim();
  Play.Site_.setUpstreamMode(Victim, {{"draining", true}});
  sleepFor(seconds(2));
  const Instant Left = Time.now();
  sleepFor(seconds(2));
  Play.finish();
  const std::string Name = "katalog-h" + std::to_string(Victim) + "-1";
  for (const CallLoad::Call &One : Play.Load_->calls())
    if (One.SentAt_ > Left)
      BOOST_TEST(One.Instance_ != Name);
  BOOST_TEST(Play.notRunLately(milliseconds(500)) == 0U);
}

BOOST_AUTO_TEST_CASE(AllDaemonsAreKilledAtOnce) {
  Stage Play;
  Play.startCallers();
  for (std::uint32_t Host = 0; Host < 6; ++Host)
    Play.Site_.daemon(Host).signal(SIGKILL);
  for (std::uint32_t Host = 0; Host < 6; ++Host) {
    Play.Site_.daemon(Host).wait();
    Play.Site_.restartDaemon(Host);
    Play.Site_.joinUpstream(Host);
  }
  sleepFor(seconds(6));
  Play.finish();
  BOOST_TEST(Play.notRunLately(milliseconds(500)) == 0U);
}

/// Something between the daemons loses track of their connections. No
/// request may be lost, doubled or left unknown by that.
BOOST_AUTO_TEST_CASE(LinksGoSilent) {
  SiteOptions Options;
  Options.Relays_ = true;
  Stage Play(Options);
  Play.startCallers();
  for (int Round = 0; Round < 4; ++Round) {
    for (std::uint32_t Host = 0; Host < Options.Hosts_; ++Host)
      Play.Site_.silenceLinksTo(Host);
    sleepFor(milliseconds(700));
  }
  Play.finish();
  for (const CallLoad::Call &One : Play.Load_->calls())
    BOOST_TEST((One.Outcome_ == Outcome::Ran),
               One.Target_ << " was answered " << One.Status_ << " "
                           << outcomeName(One.Outcome_));
}

/// Shorter than the lease: all keys go on being served.
BOOST_AUTO_TEST_CASE(StoreIsDownForAWhile) {
  Stage Play;
  Play.startCallers();
  const Instant Down = Time.now();
  Play.Site_.setStoreMode({{"down", true}});
  sleepFor(seconds(4));
  Play.Site_.setStoreMode({{"down", false}, {"lose_answers", 2}});
  sleepFor(seconds(3));
  Play.finish();
  BOOST_TEST(Play.notRunBetween(Down, Time.now()) == 0U);
}

BOOST_AUTO_TEST_CASE(OwnerIsKilledWhileStoreActsLate) {
  Stage Play;
  Play.startCallers();
  const std::uint32_t Victim = Play.victim();
  Play.Site_.setStoreMode({{"act_late_ms", 1500}});
  sleepFor(milliseconds(500));
  Play.Site_.daemon(Victim).signal(SIGKILL);
  Play.Site_.daemon(Victim).wait();
  sleepFor(seconds(2));
  Play.Site_.setStoreMode({{"act_late_ms", 0}});
  Play.Site_.restartDaemon(Victim);
  sleepFor(seconds(6));
  Play.finish();
  BOOST_TEST(Play.notRunLately(milliseconds(500)) == 0U);
}

BOOST_AUTO_TEST_CASE(GracefulStopCutsNoRequest) {
  Stage Play;
  Play.startCallers();
  const std::uint32_t Victim = Play.victim();
  Play.Site_.daemon(Victim).signal(SIGTERM);
  BOOST_TEST(Play.Site_.daemon(Victim).wait() == 0);
  sleepFor(seconds(2));
  Play.finish();
  for (const CallLoad::Call &One : Play.Load_->calls())
    BOOST_TEST((One.Outcome_ == Outcome::Ran),
               One.Target_ << " was answered " << One.Status_ << " "
                           << outcomeName(One.Outcome_));
}

} // namespace lagoonhitch

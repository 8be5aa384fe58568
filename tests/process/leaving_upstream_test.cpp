/// \file
/// Tests that an upstream which states in its responses that it is about to
/// terminate gets no new requests, although its heartbeats do not report it.

#define BOOST_TEST_MODULE leaving_upstream
#include "tests/process/site_fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The users' bound for requests to an upstream after it has stated its end.
constexpr seconds DrainTime{2};

/// A site in which the owner of some keys and an upstream of the service
/// without keys state that they are about to terminate. Requests run for long
/// enough for queues to form.
struct LeavingSite {
  LeavingSite() : Fixture_(options()) {
    LoadGeneratorOptions Load;
    Load.Workers_ = 96;
    Fixture_.startLoad(Load);
    Leaving_ = {Fixture_.findOwner(), SharedHost};
    for (const std::uint32_t Host : Leaving_)
      Fixture_.Site_.setUpstreamMode(Host, {{"leaving_stated", true}});
    StatedAt_ = Fixture_.Time_.now();
  }

  static SiteOptions options() {
    SiteOptions Options;
    Options.ServiceTimeMicros_ = 200000;
    return Options;
  }

  void restartDaemons() {
    for (const std::uint32_t Host : Leaving_)
      Fixture_.Site_.killAndRestartDaemon(Host);
  }

  void checkNoRequestsAfterDrainTime() const {
    for (const std::uint32_t Host : Leaving_) {
      const std::size_t Late = Fixture_.countRuns(Host, StatedAt_ + DrainTime);
      BOOST_TEST(Late == 0U, "host " << Host << " got " << Late
                                     << " requests after the drain time");
    }
  }

  static constexpr std::uint32_t SharedHost = 3;
  SiteFixture Fixture_;
  std::vector<std::uint32_t> Leaving_;
  Instant StatedAt_;
};

} // namespace

BOOST_AUTO_TEST_CASE(LeavingUpstreamsGetRequests) {
  LeavingSite Site;
  sleepFor(seconds(5));
  Site.Fixture_.finishAndCheck();
  Site.checkNoRequestsAfterDrainTime();
  BOOST_TEST(Site.Fixture_.countRecentlyFailed(milliseconds(500)) == 0U);
}

/// The daemons that have received the statement are killed; those that took the
/// requests from the callers still run.
BOOST_AUTO_TEST_CASE(LeavingUpstreamsGetRequestsOfRestartedDaemons) {
  LeavingSite Site;
  sleepFor(DrainTime + milliseconds(500));
  Site.restartDaemons();
  sleepFor(seconds(5));
  Site.Fixture_.finishAndCheck();
  Site.checkNoRequestsAfterDrainTime();
}

/// The next incarnation of the upstream has stated nothing.
BOOST_AUTO_TEST_CASE(RestartedUpstreamsGetNoRequests) {
  LeavingSite Site;
  sleepFor(milliseconds(500));
  Site.Fixture_.Site_.restartUpstream(LeavingSite::SharedHost);
  const Instant RestartedAt = Site.Fixture_.Time_.now();
  sleepFor(seconds(3));
  Site.Fixture_.finishAndCheck();
  BOOST_TEST(Site.Fixture_.countRuns(LeavingSite::SharedHost, RestartedAt) >
             0U);
}

/// An upstream deregisters once and still runs. Its daemon is killed; the new
/// process learns only from the store that the upstream has left.
BOOST_AUTO_TEST_CASE(DeregisteredUpstreamStaysOutAfterARestartOfItsDaemon) {
  SiteFixture Fixture(LeavingSite::options());
  LoadGeneratorOptions Load;
  Load.Workers_ = 96;
  Fixture.startLoad(Load);
  const std::vector<std::uint32_t> Leaving = {Fixture.findOwner(),
                                              LeavingSite::SharedHost};
  for (const std::uint32_t Host : Leaving)
    BOOST_TEST(Fixture.Site_.deregisterUpstream(Host) == 200U);
  sleepFor(milliseconds(300));
  for (const std::uint32_t Host : Leaving)
    Fixture.Site_.killAndRestartDaemon(Host);
  const Instant RestartedAt = Fixture.Time_.now();
  sleepFor(seconds(4));
  Fixture.finishAndCheck();
  for (const std::uint32_t Host : Leaving)
    BOOST_TEST(Fixture.countRuns(Host, RestartedAt) == 0U);
}

} // namespace lagoonhitch

/// \file
/// Tests that an upstream which states a limit of its request rate gets no more
/// than that.

#define BOOST_TEST_MODULE stated_limit
#include "tests/history/checker.h"
#include "tests/process/site_fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A site in which the owner of some keys and an upstream of the service
/// without keys state a limit.
struct LimitedSite {
  /// \param Limit the limit in requests per second.
  explicit LimitedSite(std::uint32_t Limit, const SiteOptions &Options = {})
      : Fixture_(Options), Limit_(Limit) {
    LoadGeneratorOptions Load;
    Load.Workers_ = 96;
    Fixture_.startLoad(Load);
    Limited_ = {Fixture_.findOwner(), SharedHost};
  }

  void stateLimit() {
    state(std::to_string(Limit_));
    LimitedAt_ = Fixture_.Time_.now();
  }

  void state(const std::string &Value) {
    for (const std::uint32_t Host : Limited_)
      Fixture_.Site_.setUpstreamMode(Host, {{"stated_limit", Value}});
  }

  void restartDaemons() {
    for (const std::uint32_t Host : Limited_)
      Fixture_.Site_.killAndRestartDaemon(Host);
  }

  /// Checks the number of requests since the limit was stated. The owner's
  /// keys may move to other hosts, so it may get none.
  void checkWithinLimit(Instant To = Instant::max()) const {
    const Instant From = LimitedAt_ + milliseconds(500);
    for (const std::uint32_t Host : Limited_) {
      const std::string Name = Fixture_.Site_.upstreamName(Host);
      for (const std::string &Violation :
           checkStatedLimit(Fixture_.Events_, {Name, Limit_, From, To}))
        BOOST_ERROR(Violation);
    }
    BOOST_TEST(Fixture_.countRuns(SharedHost, From) > 0U);
  }

  static constexpr std::uint32_t SharedHost = 3;
  SiteFixture Fixture_;
  std::uint32_t Limit_ = 0;
  std::vector<std::uint32_t> Limited_;
  Instant LimitedAt_;
};

} // namespace

BOOST_AUTO_TEST_CASE(RequestsExceedAStatedLimit) {
  LimitedSite Site(10);
  Site.stateLimit();
  sleepFor(seconds(6));
  Site.Fixture_.finishAndCheck();
  Site.checkWithinLimit();
}

/// The daemons that have received the limit are killed. Those that took the
/// requests from the callers still run. The upstreams have enough slots to run
/// too many requests before the first response.
BOOST_AUTO_TEST_CASE(RestartedDaemonsExceedAStatedLimit) {
  SiteOptions Options;
  Options.ServiceTimeMicros_ = 300000;
  LimitedSite Site(3, Options);
  Site.stateLimit();
  sleepFor(seconds(1));
  Site.restartDaemons();
  sleepFor(seconds(6));
  Site.Fixture_.finishAndCheck();
  Site.checkWithinLimit();
}

/// The limit ends with the first response that does not state it, and a value
/// that is no number changes nothing.
BOOST_AUTO_TEST_CASE(StatedLimitsOutlastTheirEnd) {
  LimitedSite Site(10);
  Site.stateLimit();
  sleepFor(seconds(1));
  Site.state("many");
  sleepFor(seconds(3));
  const Instant LimitedTo = Site.Fixture_.Time_.now();
  Site.state("");
  sleepFor(seconds(3));
  Site.Fixture_.finishAndCheck();
  Site.checkWithinLimit(LimitedTo);
  // Twice what the limit allows in four seconds.
  constexpr std::size_t MinRunsWithoutLimit = 130;
  BOOST_TEST(Site.Fixture_.countRuns(LimitedSite::SharedHost, LimitedTo) >
             MinRunsWithoutLimit);
}

} // namespace lagoonhitch

/// \file
/// Tests that an upstream which states a limit of its request rate gets no more
/// than that.

#define BOOST_TEST_MODULE announced_limit
#include "tests/process/site_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests per second that the limited upstreams state.
constexpr int Limit = 10;
constexpr seconds Window{4};
/// The users' bound for a window: one and a half times the limit, and five
/// requests more.
constexpr std::size_t MaxRunsInWindow = Limit * 4 * 3 / 2 + 5;

/// A site in which the owner of some keys and an upstream of the service
/// without keys state a limit.
struct LimitedSite {
  LimitedSite() {
    Fixture_.startLoad();
    Limited_ = {Fixture_.findOwner(), SharedHost};
  }

  void state(const std::string &Value) {
    for (const std::uint32_t Host : Limited_)
      Fixture_.Site_.setUpstreamMode(Host, {{"stated_limit", Value}});
    ChangedAt_ = Fixture_.Time_.now();
  }

  void restartDaemons() {
    for (const std::uint32_t Host : Limited_) {
      Fixture_.Site_.daemon(Host).signal(SIGKILL);
      Fixture_.Site_.daemon(Host).wait();
      Fixture_.Site_.restartDaemon(Host);
    }
  }

  /// Returns when a host's upstream began to run requests.
  std::vector<Instant> starts(std::uint32_t Host, Instant From) const {
    const std::string Service = Host % 2 == 0 ? "katalog" : "pruf";
    const std::string Name = Service + "-h" + std::to_string(Host) + "-1";
    std::vector<Instant> Found;
    for (const History::Run &Run : Fixture_.Events_.Runs_)
      if (Run.Upstream_ == Name && Run.Begin_ >= From)
        Found.push_back(Run.Begin_);
    std::sort(Found.begin(), Found.end());
    return Found;
  }

  /// Returns the largest number of runs in a window that begins at From or
  /// later.
  std::size_t maxRunsInWindow(std::uint32_t Host, Instant From) const {
    const std::vector<Instant> Starts = starts(Host, From);
    std::size_t Most = 0;
    std::size_t Oldest = 0;
    for (std::size_t Newest = 0; Newest < Starts.size(); ++Newest) {
      while (Starts[Newest] - Starts[Oldest] > Window)
        ++Oldest;
      Most = std::max(Most, Newest - Oldest + 1);
    }
    return Most;
  }

  void checkWithinLimit(Instant From) const {
    for (const std::uint32_t Host : Limited_) {
      const std::size_t Most = maxRunsInWindow(Host, From);
      BOOST_TEST(Most > 0U);
      BOOST_TEST(Most <= MaxRunsInWindow,
                 "host " << Host << " got " << Most << " requests in 4 s");
    }
  }

  static constexpr std::uint32_t SharedHost = 3;
  SiteFixture Fixture_;
  std::vector<std::uint32_t> Limited_;
  Instant ChangedAt_;
};

} // namespace

BOOST_AUTO_TEST_CASE(RequestsExceedAStatedLimit) {
  LimitedSite Site;
  Site.state(std::to_string(Limit));
  sleepFor(seconds(6));
  Site.Fixture_.finishAndCheck();
  Site.checkWithinLimit(Site.ChangedAt_ + milliseconds(500));
}

/// The daemons that have received the limit are killed. Those that took the
/// requests from the callers still run.
BOOST_AUTO_TEST_CASE(RestartedDaemonsExceedAStatedLimit) {
  LimitedSite Site;
  Site.state(std::to_string(Limit));
  sleepFor(seconds(1));
  Site.restartDaemons();
  sleepFor(seconds(6));
  Site.Fixture_.finishAndCheck();
  Site.checkWithinLimit(Site.ChangedAt_ + milliseconds(500));
}

/// The limit ends with the first response that does not state it, and a value
/// that is no number changes nothing.
BOOST_AUTO_TEST_CASE(StatedLimitsOutlastTheirEnd) {
  LimitedSite Site;
  Site.state(std::to_string(Limit));
  sleepFor(seconds(1));
  const Instant LimitedFrom = Site.ChangedAt_ + milliseconds(500);
  Site.state("many");
  sleepFor(seconds(3));
  const Instant LimitedTo = Site.Fixture_.Time_.now();
  Site.state("");
  sleepFor(seconds(3));
  Site.Fixture_.finishAndCheck();
  for (const std::uint32_t Host : Site.Limited_) {
    const std::size_t All = Site.starts(Host, LimitedFrom).size();
    const std::size_t After = Site.starts(Host, LimitedTo).size();
    BOOST_TEST(All - After <= MaxRunsInWindow);
    BOOST_TEST(After > 2 * MaxRunsInWindow);
  }
}

} // namespace lagoonhitch

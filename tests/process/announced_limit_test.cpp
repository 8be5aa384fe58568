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

constexpr std::uint32_t WindowSeconds = 4;

/// Returns the users' bound for the requests in a window: one and a half times
/// the limit, and five requests more.
constexpr std::size_t maxRunsInWindow(std::uint32_t Limit) {
  return Limit * WindowSeconds * 3 / 2 + 5;
}

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

  void stateLimit() { state(std::to_string(Limit_)); }

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
    const std::string Name = Fixture_.Site_.upstreamName(Host);
    std::vector<Instant> Found;
    for (const History::Run &Run : Fixture_.Events_.Runs_)
      if (Run.Upstream_ == Name && Run.Begin_ >= From)
        Found.push_back(Run.Begin_);
    std::sort(Found.begin(), Found.end());
    return Found;
  }

  /// Returns the largest number of runs in a window that begins at From or
  /// later.
  std::size_t mostRunsInWindow(std::uint32_t Host, Instant From) const {
    const std::vector<Instant> Starts = starts(Host, From);
    std::size_t Most = 0;
    std::size_t Oldest = 0;
    for (std::size_t Newest = 0; Newest < Starts.size(); ++Newest) {
      while (Starts[Newest] - Starts[Oldest] >
             std::chrono::seconds(WindowSeconds))
        ++Oldest;
      Most = std::max(Most, Newest - Oldest + 1);
    }
    return Most;
  }

  /// Checks the number of requests since the limit was stated. The owner's
  /// keys may move to other hosts, so it may get none.
  void checkWithinLimit() const {
    const Instant From = ChangedAt_ + milliseconds(500);
    for (const std::uint32_t Host : Limited_) {
      const std::size_t Most = mostRunsInWindow(Host, From);
      BOOST_TEST(Most <= maxRunsInWindow(Limit_),
                 "host " << Host << " got " << Most << " requests in 4 s");
    }
    BOOST_TEST(mostRunsInWindow(SharedHost, From) > 0U);
  }

  static constexpr std::uint32_t SharedHost = 3;
  SiteFixture Fixture_;
  std::uint32_t Limit_ = 0;
  std::vector<std::uint32_t> Limited_;
  Instant ChangedAt_;
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
  const Instant LimitedFrom = Site.ChangedAt_ + milliseconds(500);
  Site.state("many");
  sleepFor(seconds(3));
  const Instant LimitedTo = Site.Fixture_.Time_.now();
  Site.state("");
  sleepFor(seconds(3));
  Site.Fixture_.finishAndCheck();
  const std::size_t Bound = maxRunsInWindow(Site.Limit_);
  const std::uint32_t Host = LimitedSite::SharedHost;
  const std::size_t All = Site.starts(Host, LimitedFrom).size();
  const std::size_t After = Site.starts(Host, LimitedTo).size();
  BOOST_TEST(All - After <= Bound);
  BOOST_TEST(After > 2 * Bound);
}

} // namespace lagoonhitch

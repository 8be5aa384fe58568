/// \file
/// Tests that a request which crashes the upstreams that run it is not sent to
/// upstreams again and again, and that other requests are served.

#define BOOST_TEST_MODULE crashing_request
#include "net/blocking_http.h"
#include "tests/process/site_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <string>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The users' bound: the crashes after which a request is known, and the runs
/// that it may have afterwards.
constexpr std::size_t MaxRuns = 3 + 3;
/// In the target of the request that crashes upstreams.
constexpr const char *Fatal = "fatal";

/// A site under load where the upstreams of one service crash when they begin
/// to run one of the requests, and are started again.
struct CrashingSite {
  /// \param FirstHost the first host of the service; the others are every
  /// second one after it.
  explicit CrashingSite(std::uint32_t FirstHost = 0) : FirstHost_(FirstHost) {
    for (std::uint32_t Host = FirstHost_; Host < Fixture_.Site_.hosts();
         Host += 2)
      crashOnFatal(Host);
    LoadGeneratorOptions Load;
    Load.Workers_ = 4;
    Load.ThinkTime_ = milliseconds(10);
    Fixture_.startLoad(Load);
  }

  void crashOnFatal(std::uint32_t Host) {
    Fixture_.Site_.setUpstreamMode(Host, {{"crash_on", Fatal}});
  }

  /// Sends the request to the daemon of a host and returns the response.
  HttpResult sendFatal(std::uint32_t Host) {
    HttpRequest Request;
    const std::string Service = FirstHost_ == 0 ? "katalog" : "pruf";
    Request.Target_ = "/" + Service + "/" + Fatal;
    Request.Headers_.push_back({"X-Call", "GET fatal"});
    return callBlocking(Fixture_.Time_, Fixture_.Site_.callersAddress(Host),
                        std::move(Request), seconds(6));
  }

  /// Starts the upstreams again that have crashed.
  void restartCrashed() {
    for (std::uint32_t Host = FirstHost_; Host < Fixture_.Site_.hosts();
         Host += 2) {
      if (!Fixture_.Site_.upstream(Host).waitFor(milliseconds(20)))
        continue;
      Fixture_.Site_.restartUpstream(Host);
      crashOnFatal(Host);
    }
  }

  /// Sends the request to different daemons of one service until no upstream
  /// should run it any more.
  void sendRepeatedly(int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      LastStatus_ = sendFatal(Round % 2 == 0 ? 1 : 3).Response_.Status_;
      sleepFor(milliseconds(200));
      restartCrashed();
      sleepFor(milliseconds(800));
    }
  }

  void restartAllDaemons() {
    for (std::uint32_t Host = 0; Host < Fixture_.Site_.hosts(); ++Host) {
      Fixture_.Site_.daemon(Host).signal(SIGKILL);
      Fixture_.Site_.daemon(Host).wait();
    }
    for (std::uint32_t Host = 0; Host < Fixture_.Site_.hosts(); ++Host)
      Fixture_.Site_.restartDaemon(Host);
    BOOST_REQUIRE(Fixture_.Site_.waitUntilServing(seconds(20)));
  }

  std::size_t countRuns() const {
    return static_cast<std::size_t>(std::count_if(
        Fixture_.Events_.Runs_.begin(), Fixture_.Events_.Runs_.end(),
        [](const History::Run &Run) { return Run.Call_ == "GET fatal"; }));
  }

  std::uint32_t FirstHost_ = 0;
  SiteFixture Fixture_;
  unsigned LastStatus_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(RequestCrashesUpstreamAfterUpstream) {
  CrashingSite Site;
  Site.sendRepeatedly(10);
  sleepFor(seconds(2));
  for (const std::uint32_t Host : {0U, 1U})
    BOOST_TEST(Site.Fixture_.Site_.status(Host).at("quarantined").size() == 1U);
  Site.Fixture_.finishAndCheck();
  const std::size_t Runs = Site.countRuns();
  BOOST_TEST(Runs >= 3U);
  BOOST_TEST(Runs <= MaxRuns, "the request was run " << Runs << " times");
  BOOST_TEST(Site.LastStatus_ == 503U);
  BOOST_TEST(Site.Fixture_.countRecentlyFailed(milliseconds(500)) == 0U);
}

/// What is known of the request survives the loss of all daemons at once.
BOOST_AUTO_TEST_CASE(RestartedDaemonsLetARequestCrashUpstreams) {
  CrashingSite Site;
  Site.sendRepeatedly(6);
  Site.restartAllDaemons();
  Site.sendRepeatedly(6);
  Site.Fixture_.finishAndCheck();
  const std::size_t Runs = Site.countRuns();
  BOOST_TEST(Runs >= 3U);
  BOOST_TEST(Runs <= MaxRuns, "the request was run " << Runs << " times");
}

/// Daemons tell each other of crashes while they can't use the store.
BOOST_AUTO_TEST_CASE(RequestCrashesUpstreamsWhileTheStoreIsDown) {
  CrashingSite Site(1);
  Site.Fixture_.Site_.setStoreMode({{"down", true}});
  Site.sendRepeatedly(6);
  Site.Fixture_.Site_.setStoreMode({{"down", false}});
  sleepFor(seconds(2));
  Site.Fixture_.finishAndCheck();
  const std::size_t Runs = Site.countRuns();
  BOOST_TEST(Runs >= 3U);
  BOOST_TEST(Runs <= MaxRuns, "the request was run " << Runs << " times");
}

} // namespace lagoonhitch

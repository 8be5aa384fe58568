#include "tests/process/site_fixture.h"

#include "tests/history/checker.h"
#include "tests/process/run_files.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <map>
#include <string>
#include <thread>
#include <utility>

namespace lagoonhitch {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds StartTimeout{20};

/// Upstreams get their keys in the replies to their heartbeats if the
/// environment says so.
SiteOptions withGrantMethod(SiteOptions Options) {
  if (std::getenv("LAGOONHITCH_TEST_HEARTBEAT_REPLIES") != nullptr)
    Options.UseHeartbeatReplies_ = true;
  return Options;
}

} // namespace

void sleepFor(milliseconds Span) { std::this_thread::sleep_for(Span); }

SiteFixture::SiteFixture(const SiteOptions &Options)
    : Site_(Time_, withGrantMethod(Options)) {
  BOOST_REQUIRE(Site_.waitUntilServing(StartTimeout));
}

void SiteFixture::startLoad(LoadGeneratorOptions Options) {
  Options.Addresses_ = {Site_.callersAddress(0), Site_.callersAddress(1)};
  Load_ = std::make_unique<LoadGenerator>(Time_, std::move(Options));
  sleepFor(milliseconds(500));
}

std::uint32_t SiteFixture::findOwner() const {
  for (int Number = 0; Number < 500; ++Number) {
    const std::uint32_t Owner = Site_.ownerOf(0, "k" + std::to_string(Number));
    if (Owner > 1)
      return Owner;
  }
  BOOST_FAIL("hosts 0 and 1 own all keys");
  return 0;
}

void SiteFixture::suspendOwner(milliseconds Span) {
  startLoad();
  const std::uint32_t Owner = findOwner();
  Site_.daemon(Owner).signal(SIGSTOP);
  sleepFor(Span);
  Site_.daemon(Owner).signal(SIGCONT);
  sleepFor(seconds(3));
  finishAndCheck();
  BOOST_TEST(countRecentlyFailed(milliseconds(500)) == 0U);
}

void SiteFixture::finishAndCheck() {
  Load_->finish();
  Events_.Answers_ = Load_->answers();
  addRuns(Site_.runFiles(), Events_);
  BOOST_TEST_MESSAGE(Events_.Answers_.size()
                     << " answers, " << Events_.Runs_.size() << " runs");
  BOOST_TEST(Events_.Answers_.size() > 500U);
  const Violations Found = checkAll(Events_);
  for (const std::string &Violation : Found)
    BOOST_ERROR(Violation);
}

void SiteFixture::checkAllRan() const {
  for (const LoadGenerator::Call &Call : Load_->calls())
    BOOST_TEST((Call.Outcome_ == Outcome::Ran),
               Call.Target_ << " was answered " << Call.Status_ << " "
                            << outcomeName(Call.Outcome_));
}

void SiteFixture::checkEachRanOnce() const {
  std::map<std::string, int> Runs;
  for (const History::Run &Run : Events_.Runs_)
    ++Runs[Run.Call_];
  for (const History::CallAnswer &Answer : Events_.Answers_)
    BOOST_TEST(Runs[Answer.Call_] == 1, Answer.Call_ << " was executed "
                                                     << Runs[Answer.Call_]
                                                     << " times");
}

std::size_t SiteFixture::countRuns(std::uint32_t Host, Instant From) const {
  const std::string Name = Site_.upstreamName(Host);
  return static_cast<std::size_t>(
      std::count_if(Events_.Runs_.begin(), Events_.Runs_.end(),
                    [&Name, From](const History::Run &Run) {
                      return Run.Upstream_ == Name && Run.Begin_ >= From;
                    }));
}

std::size_t SiteFixture::countFailed(Instant From, Instant To) const {
  const std::vector<LoadGenerator::Call> &Calls = Load_->calls();
  return static_cast<std::size_t>(std::count_if(
      Calls.begin(), Calls.end(), [From, To](const LoadGenerator::Call &Call) {
        return Call.SentAt_ > From && Call.SentAt_ <= To &&
               Call.Outcome_ != Outcome::Ran;
      }));
}

std::size_t SiteFixture::countRecentlyFailed(milliseconds Span) const {
  const Instant End = Load_->calls().back().AnsweredAt_;
  return countFailed(End - Span, End);
}

} // namespace lagoonhitch

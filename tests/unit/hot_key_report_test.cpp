/// \file
/// Tests of the hot keys that an owner reports.

#define BOOST_TEST_MODULE hot_key_report
#include "membership/hot_key_report.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds Tick{50};
constexpr double Capacity = 60;

/// An owner whose keys get requests at random times.
struct Owner {
  KeyRates Rates_;
  HotKeyReport Report_;
  Instant Now_ = Instant() + std::chrono::hours(1);
  std::mt19937_64 Random_{3};
  std::size_t Begun_ = 0;
  std::size_t Ended_ = 0;

  void run(Duration For, const std::map<KeyId, double> &PerSecond) {
    const double TickSeconds = std::chrono::duration<double>(Tick).count();
    for (const Instant End = Now_ + For; Now_ < End; Now_ += Tick) {
      for (const auto &[Key, Rate] : PerSecond) {
        std::poisson_distribution<int> Arrivals(Rate * TickSeconds);
        for (int Left = Arrivals(Random_); Left > 0; --Left)
          countRequest(Rates_, Key, Now_);
      }
      decayRates(Rates_, Now_);
      const HotKeyChanges Changes =
          updateHotKeys(Report_, Rates_, Capacity, Now_);
      Begun_ += Changes.Begun_.size();
      Ended_ += Changes.Ended_.size();
    }
  }

  /// Runs with requests for key 5 that entry daemons limit by the report.
  void runLimited(Duration For, double PerSecond) {
    constexpr std::chrono::milliseconds DigestInterval{250};
    for (const Instant End = Now_ + For; Now_ < End;) {
      double Part = 1;
      if (isHot(Report_, 5))
        Part = HotKeyMargin * Report_.Keys_.at(5).Admitted_ /
               Report_.Keys_.at(5).Requested_;
      run(DigestInterval, {{5, PerSecond * std::min(1.0, Part)}});
    }
  }
};

} // namespace

/// A key gets three times what its owner can run, from one moment on. The slow
/// averages alone would show it only after a second, and its rate after 5 s.
BOOST_AUTO_TEST_CASE(ReportsAHotKeyWithinASecond) {
  Owner Host;
  Host.run(std::chrono::seconds(5), {{5, 20}, {6, 10}});
  BOOST_TEST(reportedKeys(Host.Report_).empty());
  Host.run(std::chrono::milliseconds(1000), {{5, 180}, {6, 10}});
  BOOST_REQUIRE(reportedKeys(Host.Report_).size() == 1U);
  const HotKey Hot = reportedKeys(Host.Report_).front();
  BOOST_TEST(Hot.Key_ == 5U);
  BOOST_TEST(std::abs(static_cast<int>(Hot.AdmittedPerSecond_) - 50) <= 8);
  BOOST_TEST(Hot.RequestedPerSecond_ > 110U);
}

/// Keys below the capacity are never reported, whatever chance does to their
/// measured rates.
BOOST_AUTO_TEST_CASE(DoesNotReportBusyKeysThatCanRun) {
  Owner Host;
  Host.run(std::chrono::seconds(120), {{5, 40}, {6, 12}});
  BOOST_TEST(Host.Begun_ == 0U);
}

/// The key cools down: the report ends, and with it the limit at the entry
/// daemons.
BOOST_AUTO_TEST_CASE(EndsTheReportWhenTheKeyCools) {
  Owner Host;
  Host.runLimited(std::chrono::seconds(5), 180);
  Host.runLimited(std::chrono::milliseconds(2500), 20);
  BOOST_TEST(reportedKeys(Host.Report_).empty());
  BOOST_TEST(Host.Begun_ == 1U);
  BOOST_TEST(Host.Ended_ == 1U);
}

/// Entry daemons limit the key, so that little more than the admitted rate
/// arrives. The report must not end for that, nor the estimate of what callers
/// send drift away.
BOOST_AUTO_TEST_CASE(KeepsTheReportWhileEntryDaemonsLimitTheKey) {
  Owner Host;
  Host.run(std::chrono::milliseconds(1000), {{5, 180}});
  for (int Digest = 0; Digest < 240; ++Digest) {
    const HotKeyReport &Report = Host.Report_;
    BOOST_REQUIRE(isHot(Report, 5));
    const double Requested = Report.Keys_.at(5).Requested_;
    Host.runLimited(std::chrono::milliseconds(250), 180);
    BOOST_TEST(std::abs(Requested - 180) < 60);
  }
  BOOST_TEST(Host.Begun_ == 1U);
}

/// The key moves to another owner: its rates are forgotten, and so is the
/// report.
BOOST_AUTO_TEST_CASE(EndsTheReportWhenTheKeyMoves) {
  Owner Host;
  Host.run(std::chrono::seconds(5), {{5, 180}});
  keepKeys(Host.Rates_, [](KeyId) { return false; });
  Host.run(Tick, {});
  BOOST_TEST(reportedKeys(Host.Report_).empty());
}

} // namespace lagoonhitch

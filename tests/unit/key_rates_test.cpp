/// \file
/// Tests of the request rates of keys.

#define BOOST_TEST_MODULE key_rates
#include "ownership/key_rates.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds Tick{50};

/// Requests for keys at random times.
struct Load {
  KeyRates Rates_;
  Instant Now_ = Instant() + std::chrono::hours(1);
  std::mt19937_64 Random_{7};

  void run(Duration For, const std::map<KeyId, double> &PerSecond) {
    const double TickSeconds = std::chrono::duration<double>(Tick).count();
    for (const Instant End = Now_ + For; Now_ < End; Now_ += Tick) {
      for (const auto &[Key, Rate] : PerSecond) {
        std::poisson_distribution<int> Arrivals(Rate * TickSeconds);
        for (int Left = Arrivals(Random_); Left > 0; --Left)
          countRequest(Rates_, Key, Now_);
      }
      decayRates(Rates_, Now_);
    }
  }

  double rate(KeyId Key) const { return rateOf(Rates_, Key); }
};

} // namespace

/// A key gets four times as many requests from one moment on. The slow average
/// alone would reach 78 % of the new rate only after 3 s.
BOOST_AUTO_TEST_CASE(KnowsAStepWithinASecond) {
  Load Requests;
  Requests.run(std::chrono::seconds(10), {{5, 40}});
  BOOST_TEST(std::abs(Requests.rate(5) - 40) < 15);
  Requests.run(std::chrono::milliseconds(1000), {{5, 160}});
  BOOST_TEST(Requests.rate(5) > 120);
  Requests.run(std::chrono::milliseconds(1500), {});
  BOOST_TEST(Requests.rate(5) < 40);
}

/// Requests at a steady rate must not be taken for steps, or the averages would
/// be as noisy as the fast ones.
BOOST_AUTO_TEST_CASE(AveragesASteadyLoad) {
  Load Requests;
  Requests.run(std::chrono::seconds(10), {{5, 60}});
  double Sum = 0;
  double SquareSum = 0;
  constexpr int Samples = 200;
  for (int Sample = 0; Sample < Samples; ++Sample) {
    Requests.run(std::chrono::milliseconds(500), {{5, 60}});
    Sum += Requests.rate(5);
    SquareSum += std::pow(Requests.rate(5) - 60, 2);
  }
  BOOST_TEST(std::abs(Sum / Samples - 60) < 4);
  BOOST_TEST(std::sqrt(SquareSum / Samples) < 6.0);
}

/// The first averages after a start are too low, the fast ones less so. Neither
/// may count twice for that.
BOOST_AUTO_TEST_CASE(CorrectsTheFirstAverages) {
  Load Requests;
  Requests.run(std::chrono::milliseconds(600), {{5, 200}, {6, 100}});
  BOOST_TEST(std::abs(Requests.rate(5) - 200) < 60);
  BOOST_TEST(std::abs(Requests.rate(6) - 100) < 45);
}

/// A host gains keys, some with few requests each. Their averages start at zero
/// and would be too low for seconds.
BOOST_AUTO_TEST_CASE(KnowsTheRatesOfGainedKeys) {
  Load Requests;
  Requests.run(std::chrono::seconds(10), {{5, 20}});
  onKeysGained(Requests.Rates_, {100, 299}, Requests.Now_);
  std::map<KeyId, double> Gained = {{5, 20}};
  for (KeyId Key = 100; Key < 300; ++Key)
    Gained[Key] = 0.5;
  Requests.run(std::chrono::milliseconds(1000), Gained);
  BOOST_TEST(std::abs(Requests.Rates_.Total_ - 120) < 25);
}

/// Many keys get more requests at the same time, each too few to show a step.
BOOST_AUTO_TEST_CASE(KnowsAStepOfManyKeys) {
  Load Requests;
  std::map<KeyId, double> PerSecond;
  for (KeyId Key = 0; Key < 100; ++Key)
    PerSecond[Key] = 0.3;
  Requests.run(std::chrono::seconds(10), PerSecond);
  for (auto &[Key, Rate] : PerSecond)
    Rate = 5;
  Requests.run(std::chrono::milliseconds(1000), PerSecond);
  BOOST_TEST(Requests.Rates_.Total_ > 350);
  BOOST_TEST(Requests.Rates_.Total_ < 600);
}

/// Keys that moved away must not count towards the host's load.
BOOST_AUTO_TEST_CASE(ForgetsKeysOfOtherOwners) {
  Load Requests;
  Requests.run(std::chrono::seconds(2), {{5, 50}, {6, 50}});
  keepKeys(Requests.Rates_, [](KeyId Key) { return Key == 6; });
  BOOST_TEST(Requests.rate(5) == 0);
  BOOST_TEST(Requests.Rates_.Total_ == Requests.Rates_.Rates_.at(6));
}

} // namespace lagoonhitch

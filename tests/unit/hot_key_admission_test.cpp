/// \file
/// Tests of the limits that entry daemons apply to hot keys, alone and together
/// with the owner's report and its admission queue.

#define BOOST_TEST_MODULE hot_key_admission
#include "limits/admission_queue.h"
#include "membership/hot_key_report.h"
#include "routing/hot_key_admission.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <vector>

namespace lagoonhitch {

namespace {

const ServiceKey TheKey{"carts", 500};
constexpr std::chrono::milliseconds DigestInterval{500};
constexpr Instant Start = Instant() + std::chrono::hours(1);

FleetMember reportingOwner(std::uint32_t Admitted, std::uint32_t Requested) {
  FleetMember Owner;
  Owner.Record_.Host_ = "h1";
  Owner.Digest_.IntervalMillis_ = DigestInterval.count();
  Owner.Digest_.HotKeys_ = {{TheKey.second, Admitted, Requested}};
  Owner.LastDigestAt_ = Start;
  return Owner;
}

/// Requests of one entry daemon's callers.
struct Entry {
  HotKeyAdmission State_;
  std::mt19937_64 Random_{5};
  std::size_t Requests_ = 0;
  std::size_t Sent_ = 0;
  Duration LongestRetry_{};

  /// Returns whether the request was sent.
  bool request(const FleetMember &Owner, Instant Now) {
    ++Requests_;
    countKeyRequest(State_, TheKey, Now);
    const std::optional<Duration> Wait =
        takeFromShare(State_, TheKey, Owner, std::chrono::seconds(1), Now);
    Sent_ += Wait ? 0 : 1;
    LongestRetry_ = std::max(LongestRetry_, Wait.value_or(Duration::zero()));
    return !Wait;
  }

  void run(FleetMember &Owner, double PerSecond, Instant From, Duration For) {
    std::exponential_distribution<double> Gap(PerSecond);
    Instant Now = From;
    const auto Next = [&] {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap(Random_)));
    };
    for (Now += Next(); Now < From + For; Now += Next()) {
      Owner.LastDigestAt_ = Now;
      request(Owner, Now);
    }
  }
};

} // namespace

/// Two entry daemons get 80 and 20 of 100 requests a second, of which the owner
/// can run 40. Each of them must send its share.
BOOST_AUTO_TEST_CASE(EntryDaemonsSendUnequalShares) {
  FleetMember Owner = reportingOwner(40, 100);
  Entry Large;
  Entry Small;
  Large.run(Owner, 80, Start, std::chrono::seconds(60));
  Small.run(Owner, 20, Start, std::chrono::seconds(60));
  const double LargeRate = static_cast<double>(Large.Sent_) / 60;
  const double SmallRate = static_cast<double>(Small.Sent_) / 60;
  BOOST_TEST(std::abs(LargeRate - 80 * 0.4 * HotKeyMargin) < 3);
  BOOST_TEST(std::abs(SmallRate - 20 * 0.4 * HotKeyMargin) < 1);
}

/// A daemon whose callers send very few requests must not reject them for long.
BOOST_AUTO_TEST_CASE(FewRequestsStillPass) {
  FleetMember Owner = reportingOwner(10, 1000);
  Entry Few;
  Few.run(Owner, 0.05, Start, std::chrono::seconds(600));
  BOOST_TEST(Few.Sent_ * 2 >= Few.Requests_);
}

/// Nothing limits a key that is not reported, that the owner ceased to report,
/// or whose report is older than two intervals: the owner may be lost, or its
/// digests.
BOOST_AUTO_TEST_CASE(LimitEndsWithTheReport) {
  FleetMember Owner = reportingOwner(10, 1000);
  Entry Daemon;
  Instant Now = Start;
  const auto CountSent = [&] {
    int Sent = 0;
    for (int Request = 0; Request < 20; ++Request)
      Sent += Daemon.request(Owner, Now) ? 1 : 0;
    return Sent;
  };
  BOOST_TEST(CountSent() <= 1);
  Now += DigestInterval * 2 + std::chrono::milliseconds(1);
  BOOST_TEST(CountSent() == 20);
  Owner.LastDigestAt_ = Now;
  BOOST_TEST(CountSent() <= 1);
  Owner.Digest_.HotKeys_.clear();
  BOOST_TEST(CountSent() == 20);
  Owner.Digest_.HotKeys_ = {{TheKey.second + 1, 10, 1000}};
  BOOST_TEST(CountSent() == 20);
}

/// The key has another owner, which does not report it. The table is newer than
/// the digest of the host before, which still does.
BOOST_AUTO_TEST_CASE(LimitEndsWithAnotherOwner) {
  const FleetMember Before = reportingOwner(10, 1000);
  FleetMember After = Before;
  After.Record_.Host_ = "h2";
  After.Digest_.HotKeys_.clear();
  Entry Daemon;
  for (int Request = 0; Request < 5; ++Request)
    Daemon.request(Before, Start);
  BOOST_TEST(Daemon.request(After, Start));
  BOOST_TEST(Daemon.request(After, Start));
}

/// Callers are told different times, so that their retries do not arrive
/// together, and none after the latest time.
BOOST_AUTO_TEST_CASE(StatesWhenTheShareAllowsTheNextRequest) {
  FleetMember Owner = reportingOwner(50, 100);
  Entry Daemon;
  Daemon.run(Owner, 20, Start, std::chrono::seconds(10));
  BOOST_TEST((Daemon.LongestRetry_ <= std::chrono::seconds(1)));
  const Instant Now = Start + std::chrono::seconds(10);
  Duration Last{};
  for (int Request = 0; Request < 6; ++Request) {
    countKeyRequest(Daemon.State_, TheKey, Now);
    if (const auto Wait = takeFromShare(Daemon.State_, TheKey, Owner,
                                        std::chrono::seconds(20), Now)) {
      BOOST_TEST((*Wait > Last));
      Last = *Wait;
    }
  }
  BOOST_TEST((Last > std::chrono::milliseconds(100)));
  BOOST_TEST((Last < std::chrono::milliseconds(1500)));
}

namespace {

/// What one replay of a hot key counted.
struct HotKeyDay {
  std::size_t RejectedByOwner_ = 0;
  std::size_t RejectedAtEntry_ = 0;
  /// Part of the owner's slots in use, from 3 s on.
  double Used_ = 0;
};

/// Replays a hot key at 64 entry daemons and an owner with 12 slots and
/// processing times of 100 ms on average. The key's load begins at once, and is
/// three times what the owner can run.
HotKeyDay replay(bool Limited, std::uint64_t Seed) {
  constexpr std::size_t EntryCount = 64;
  constexpr std::uint32_t Slots = 12;
  constexpr double ProcessingSeconds = 0.1;
  constexpr double PerSecond = 3 * Slots / ProcessingSeconds;
  constexpr std::chrono::milliseconds Step{1};
  constexpr std::chrono::milliseconds OwnerTick{50};
  constexpr std::chrono::seconds Length{60};
  constexpr std::chrono::seconds UsedFrom{3};
  std::mt19937_64 Random(Seed);
  // Shares of the entry daemons differ by a factor of nine.
  std::vector<double> Weights(EntryCount);
  for (std::size_t Index = 0; Index < EntryCount; ++Index)
    Weights[Index] = 1 + static_cast<double>(Index) / 8;
  std::discrete_distribution<std::size_t> ChooseEntry(Weights.begin(),
                                                      Weights.end());
  std::poisson_distribution<int> Arrivals(PerSecond / 1000);
  std::lognormal_distribution<double> Processing(
      std::log(ProcessingSeconds) - 0.125, 0.5);

  std::vector<HotKeyAdmission> Entries(EntryCount);
  FleetMember Owner = reportingOwner(0, 0);
  Owner.Digest_.HotKeys_.clear();
  AdmissionQueue Queue;
  resetForUpstream(Queue, Slots);
  Queue.ProcessingTime_ = std::chrono::milliseconds(100);
  KeyRates Rates;
  HotKeyReport Report;
  std::multimap<Instant, std::pair<QueuedRequest, Instant>> Running;
  HotKeyDay Day;
  std::uint64_t Number = 0;
  double UsedSlots = 0;
  std::size_t Steps = 0;
  const auto Run = [&](const QueuedRequest &Request, Instant Now) {
    Running.emplace(Now +
                        std::chrono::duration_cast<Duration>(
                            std::chrono::duration<double>(Processing(Random))),
                    std::pair(Request, Now));
  };
  for (Instant Now = Start; Now < Start + Length; Now += Step) {
    while (!Running.empty() && Running.begin()->first <= Now) {
      const auto [Request, Since] = Running.begin()->second;
      finishRequest(Queue, Request, Now - Since);
      Running.erase(Running.begin());
    }
    const DispatchResult Dispatch = dispatchWaiting(Queue, Now);
    Day.RejectedByOwner_ += Dispatch.Dropped_.size();
    for (const QueuedRequest &Request : Dispatch.Started_)
      Run(Request, Now);
    for (int Left = Arrivals(Random); Left > 0; --Left) {
      HotKeyAdmission &Daemon = Entries[ChooseEntry(Random)];
      countKeyRequest(Daemon, TheKey, Now);
      if (Limited &&
          takeFromShare(Daemon, TheKey, Owner, std::chrono::seconds(1), Now)) {
        ++Day.RejectedAtEntry_;
        continue;
      }
      countRequest(Rates, TheKey.second, Now);
      QueuedRequest Request;
      Request.Number_ = ++Number;
      Request.Objective_ = std::chrono::milliseconds(400);
      Request.ObjectiveAt_ = Now + Request.Objective_;
      Request.Timeout_ = std::chrono::seconds(2);
      Request.Deadline_ = Now + Request.Timeout_;
      const AdmissionDecision Decision = submitRequest(Queue, Request, Now);
      if (Decision.Kind_ == AdmissionDecision::Kind::Start)
        Run(Request, Now);
      Day.RejectedByOwner_ +=
          Decision.Kind_ == AdmissionDecision::Kind::Reject ? 1 : 0;
    }
    if ((Now - Start) % OwnerTick == Duration::zero()) {
      decayRates(Rates, Now);
      updateHotKeys(
          Report, Rates,
          Slots / std::chrono::duration<double>(Queue.ProcessingTime_).count(),
          Now);
    }
    if ((Now - Start) % DigestInterval == Duration::zero()) {
      Owner.Digest_.HotKeys_ = reportedKeys(Report);
      Owner.LastDigestAt_ = Now;
    }
    if (Now >= Start + UsedFrom) {
      UsedSlots += Queue.Running_;
      ++Steps;
    }
  }
  Day.Used_ = UsedSlots / static_cast<double>(Steps * Slots);
  return Day;
}

} // namespace

/// One key gets three times what its owner can run. Without the limit, two
/// thirds of the messages to the owner are for requests that it rejects.
BOOST_AUTO_TEST_CASE(LimitSparesTheOwnerMostRejectedRequests) {
  for (const std::uint64_t Seed : {1, 2, 3, 4}) {
    const HotKeyDay Before = replay(false, Seed);
    const HotKeyDay After = replay(true, Seed);
    std::printf("seed %llu: rejected by the owner %zu, with the limit %zu (%zu "
                "at entry daemons); slots used %.3f and %.3f\n",
                static_cast<unsigned long long>(Seed), Before.RejectedByOwner_,
                After.RejectedByOwner_, After.RejectedAtEntry_, Before.Used_,
                After.Used_);
    BOOST_TEST(After.RejectedByOwner_ * 10 <= Before.RejectedByOwner_);
    BOOST_TEST(After.Used_ >= 0.95);
  }
}

} // namespace lagoonhitch

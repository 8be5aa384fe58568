/// \file
/// Tests of the estimates of work and speed and of what they decide.

#define BOOST_TEST_MODULE work
#include "daemon/upstream_notice.h"
#include "limits/admission_queue.h"
#include "limits/upstream_speed.h"
#include "limits/work_estimate.h"
#include "net/header_names.h"
#include "net/http_message.h"
#include "observe/metrics.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

const Instant Start{std::chrono::hours(1)};

UpstreamNotice noticeOf(const std::string &Load) {
  HeaderNames Names;
  Names.Load_ = "Load";
  HttpResponse Response;
  Response.Headers_.push_back({"Load", Load});
  return readUpstreamNotice(Response, Names);
}

QueuedRequest makeRequest(std::uint64_t Number, std::uint32_t Class,
                          Instant Now,
                          milliseconds Timeout = milliseconds(2000)) {
  const milliseconds Objective(600);
  return {Number,    1,       Now + Objective, Now + Timeout,
          Objective, Timeout, false,           Class};
}

AdmissionQueue makeQueue(std::uint32_t Slots) {
  AdmissionQueue Queue;
  resetForUpstream(Queue, Slots);
  return Queue;
}

/// Runs requests of a class one after another.
/// \returns the end of the last run.
Instant runRequests(AdmissionQueue &Queue, std::uint32_t Class,
                    milliseconds Length, int Count, Instant Now) {
  for (int Run = 0; Run < Count; ++Run) {
    const QueuedRequest Request = makeRequest(1000000, Class, Now);
    submitRequest(Queue, Request, Now);
    Now += Length;
    learnWork(Queue, Request, Now);
    finishRequest(Queue, Request, Length);
  }
  return Now;
}

bool isNear(double Value, double Expected, double Tolerance) {
  return std::abs(Value - Expected) <= Tolerance;
}

bool isNear(Duration Value, Duration Expected, Duration Tolerance) {
  return std::chrono::abs(Value - Expected) <= Tolerance;
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadsTheSlowdownOfAResponse) {
  BOOST_TEST(noticeOf("3,0,12,240").SlowdownPercent_.value_or(0) == 240U);
  BOOST_TEST(noticeOf("3, 0, 12, 60").SlowdownPercent_.value_or(0) == 60U);
}

/// Absurd or missing slowdowns must not be used.
BOOST_DATA_TEST_CASE(IgnoresAbsurdSlowdowns,
                     boost::unit_test::data::make(
                         {"", "3,0,12", "3,0,12,", "3,0,12,0", "3,0,12,10001",
                          "3,0,12,-5", "3,0,12,1e3", "3,0,12,nan",
                          "3,0,12,99999999999999999999", ",,,", "x"}),
                     Load) {
  BOOST_TEST(!noticeOf(Load).SlowdownPercent_.has_value());
}

/// A period of low speed with many responses must not count for more time than
/// it has lasted.
BOOST_AUTO_TEST_CASE(MeanSlowdownIsTakenOverTime) {
  UpstreamSpeed Speed;
  Instant Now = Start;
  for (int Step = 0; Step < 200; ++Step, Now += milliseconds(50))
    observeSlowdown(Speed, 100, Now);
  for (int Step = 0; Step < 400; ++Step, Now += milliseconds(1))
    observeSlowdown(Speed, 400, Now);
  BOOST_TEST(Speed.MeanPercent_ > 105);
  BOOST_TEST(Speed.MeanPercent_ < 130);
}

/// A slow moment must be over, as far as the estimate goes, when it usually is.
BOOST_AUTO_TEST_CASE(LatestSlowdownFadesToTheMean) {
  UpstreamSpeed Speed;
  Instant Now = Start;
  for (int Step = 0; Step < 200; ++Step, Now += milliseconds(50))
    observeSlowdown(Speed, 100, Now);
  observeSlowdown(Speed, 400, Now);
  const auto At = [&Speed, Now](int Millis) {
    return expectedSlowdown(Speed, Duration::zero(),
                            Now + milliseconds(Millis));
  };
  BOOST_TEST(isNear(At(0), 4, 0.01));
  BOOST_TEST(At(80) > 3);
  BOOST_TEST(At(250) < At(80));
  BOOST_TEST(isNear(At(600), Speed.MeanPercent_ / 100, 0.01));
  // A long run is affected for a part of its time only.
  BOOST_TEST(expectedSlowdown(Speed, milliseconds(1000), Now) < 2);
  BOOST_TEST(expectedSlowdown(Speed, milliseconds(20), Now) > 3.5);
}

/// The first response may come from a slow moment.
BOOST_AUTO_TEST_CASE(FirstSlowdownIsNotTakenForTheMean) {
  UpstreamSpeed Speed;
  observeSlowdown(Speed, 480, Start);
  BOOST_TEST(Speed.MeanPercent_ < 250);
  BOOST_TEST(Speed.MeanPercent_ > 100);
}

/// The work of a run is the same on a slow and on a fast upstream.
BOOST_DATA_TEST_CASE(WorkDoesNotDependOnTheSpeed,
                     boost::unit_test::data::make({50U, 100U, 240U}), Percent) {
  AdmissionQueue Queue = makeQueue(4);
  Instant Now = Start;
  for (int Step = 0; Step < 100; ++Step, Now += milliseconds(50))
    observeSlowdown(Queue.Speed_, Percent, Now);
  const QueuedRequest Request = makeRequest(1, 7, Now);
  submitRequest(Queue, Request, Now);
  Now += milliseconds(2 * Percent);
  observeSlowdown(Queue.Speed_, Percent, Now);
  const std::optional<Duration> Work = learnWork(Queue, Request, Now);
  BOOST_REQUIRE(Work.has_value());
  BOOST_TEST(isNear(*Work, milliseconds(200), milliseconds(2)));
}

/// Without a reported slowdown no work may be reported, because its unit would
/// differ from upstream to upstream.
BOOST_AUTO_TEST_CASE(ReportsNoWorkWithoutSlowdown) {
  AdmissionQueue Queue = makeQueue(4);
  const QueuedRequest Request = makeRequest(1, 7, Start);
  submitRequest(Queue, Request, Start);
  BOOST_TEST(!learnWork(Queue, Request, Start + milliseconds(100)).has_value());
  BOOST_TEST((loadReport(Queue, Start).Work_ == UpstreamWork()));
  observeSlowdown(Queue.Speed_, 100, Start + milliseconds(100));
  const UpstreamWork Work = loadReport(Queue, Start + milliseconds(100)).Work_;
  BOOST_TEST(Work.SlowdownPercent_ == 100U);
  BOOST_TEST(Work.CurrentSlowdownPercent_ == 100U);
  BOOST_TEST(Work.RemainingMillis_ > 0U);
}

/// Routes with equal objectives must not share one estimate.
BOOST_AUTO_TEST_CASE(DistinguishesClassesWithEqualObjectives) {
  AdmissionQueue Queue = makeQueue(4);
  Instant Now = runRequests(Queue, 1, milliseconds(60), 60, Start);
  Now = runRequests(Queue, 2, milliseconds(400), 60, Now);
  BOOST_TEST(isNear(expectedWork(Queue, makeRequest(1, 1, Now)),
                    milliseconds(60), milliseconds(15)));
  BOOST_TEST(isNear(expectedWork(Queue, makeRequest(1, 2, Now)),
                    milliseconds(400), milliseconds(15)));
  // An unknown class has the average of its objective.
  const Duration Unknown = expectedWork(Queue, makeRequest(1, 0, Now));
  BOOST_TEST((Unknown > milliseconds(150)));
  BOOST_TEST((Unknown < milliseconds(400)));
}

/// Callers choose paths, so the number of classes must not grow without bound.
BOOST_AUTO_TEST_CASE(TableOfClassesIsBounded) {
  WorkEstimate Works;
  Instant Now = Start;
  addWorkSample(Works, 1, milliseconds(100), Now);
  for (std::uint32_t Class = 2; Class < 5000; ++Class) {
    Now += milliseconds(1);
    addWorkSample(Works, Class, milliseconds(100), Now);
  }
  BOOST_TEST(Works.Classes_.size() == Works.Options_.MaxClasses_);
  BOOST_TEST(findClassWork(Works, 1) == nullptr);
  BOOST_TEST(findClassWork(Works, 4999) != nullptr);
}

/// Absurd samples must not spoil the mean.
BOOST_AUTO_TEST_CASE(IgnoresAbsurdWork) {
  WorkEstimate Works;
  addWorkSample(Works, 1, milliseconds(100), Start);
  addWorkSample(Works, 1, std::chrono::hours(1000), Start);
  addWorkSample(Works, 1, milliseconds(-5), Start);
  BOOST_TEST((findClassWork(Works, 1)->Mean_ == milliseconds(100)));
  BOOST_TEST(findClassWork(Works, 1)->Samples_ == 1U);
}

BOOST_AUTO_TEST_CASE(LearnsMeanAndSpread) {
  constexpr double MeanMillis = 150;
  constexpr double Variance = 0.25;
  WorkEstimate Works;
  std::mt19937_64 Random(1);
  std::lognormal_distribution<double> Distribution(
      std::log(MeanMillis) - Variance / 2, std::sqrt(Variance));
  double SumOfMeans = 0;
  double SumOfSpreads = 0;
  constexpr int Samples = 3000;
  for (int Sample = 0; Sample < Samples; ++Sample) {
    addWorkSample(
        Works, 1,
        std::chrono::microseconds(std::llround(1000 * Distribution(Random))),
        Start);
    SumOfMeans += std::chrono::duration<double, std::milli>(
                      findClassWork(Works, 1)->Mean_)
                      .count();
    SumOfSpreads += std::chrono::duration<double, std::milli>(
                        findClassWork(Works, 1)->Spread_)
                        .count();
  }
  BOOST_TEST(isNear(SumOfMeans / Samples, MeanMillis, 8));
  BOOST_TEST(isNear(SumOfSpreads / Samples,
                    MeanMillis * std::sqrt(std::exp(Variance) - 1), 12));
}

/// What a running request has done already must not count as remaining work.
BOOST_AUTO_TEST_CASE(SubtractsTheWorkDone) {
  AdmissionQueue Queue = makeQueue(4);
  Instant Now = runRequests(Queue, 1, milliseconds(400), 200, Start);
  for (int Step = 0; Step < 100; ++Step, Now += milliseconds(50))
    observeSlowdown(Queue.Speed_, 200, Now);
  submitRequest(Queue, makeRequest(1, 1, Now), Now);
  const Duration AtStart = remainingWork(Queue, Now);
  BOOST_TEST(isNear(AtStart, milliseconds(400), milliseconds(10)));
  // At a slowdown of 200 %, half of the time is work.
  BOOST_TEST(isNear(remainingWork(Queue, Now + milliseconds(300)),
                    AtStart - milliseconds(150), milliseconds(10)));
  BOOST_TEST(
      (remainingWork(Queue, Now + milliseconds(5000)) >= Duration::zero()));
  BOOST_TEST((remainingWork(Queue, Now + milliseconds(5000)) < AtStart / 2));
}

/// Work that varies widely is not nearly done just because it has run for the
/// mean time.
BOOST_AUTO_TEST_CASE(LateRequestsOfUnevenWorkNeedMore) {
  BOOST_TEST((remainingWork(milliseconds(200), milliseconds(160),
                            milliseconds(190)) > milliseconds(100)));
  BOOST_TEST((remainingWork(milliseconds(200), milliseconds(10),
                            milliseconds(190)) <= milliseconds(10)));
}

/// A queue of short requests must not seem as long as one of long requests with
/// the same objective.
BOOST_AUTO_TEST_CASE(WaitDependsOnTheClassesAhead) {
  AdmissionQueue Queue = makeQueue(1);
  Instant Now = runRequests(Queue, 1, milliseconds(60), 60, Start);
  Now = runRequests(Queue, 2, milliseconds(300), 60, Now);
  const auto WaitBehind = [&Queue, Now](std::uint32_t Class) {
    AdmissionQueue Copy = Queue;
    submitRequest(Copy, makeRequest(1, Class, Now), Now);
    submitRequest(Copy, makeRequest(2, Class, Now), Now);
    return expectedWait(Copy, makeRequest(3, 1, Now), Now);
  };
  BOOST_TEST((WaitBehind(1) < milliseconds(200)));
  BOOST_TEST((WaitBehind(2) > milliseconds(500)));
}

/// A request that waits for one that is nearly done waits for a short time.
BOOST_AUTO_TEST_CASE(WaitDependsOnTheWorkDone) {
  AdmissionQueue Queue = makeQueue(1);
  Instant Now = runRequests(Queue, 1, milliseconds(400), 200, Start);
  submitRequest(Queue, makeRequest(1, 1, Now), Now);
  const QueuedRequest Next = makeRequest(2, 1, Now + milliseconds(300));
  BOOST_TEST((expectedWait(Queue, Next, Now) > milliseconds(350)));
  BOOST_TEST(
      (expectedWait(Queue, Next, Now + milliseconds(300)) < milliseconds(150)));
}

/// In a slow moment, waits are longer, and they are as before when it is over.
BOOST_AUTO_TEST_CASE(WaitDependsOnTheSpeed) {
  AdmissionQueue Queue = makeQueue(1);
  Instant Now = runRequests(Queue, 1, milliseconds(200), 60, Start);
  for (int Step = 0; Step < 100; ++Step, Now += milliseconds(50))
    observeSlowdown(Queue.Speed_, 100, Now);
  submitRequest(Queue, makeRequest(1, 1, Now), Now);
  const QueuedRequest Next = makeRequest(2, 1, Now);
  const Duration Usual = expectedWait(Queue, Next, Now);
  observeSlowdown(Queue.Speed_, 400, Now);
  BOOST_TEST((expectedWait(Queue, Next, Now) > Usual * 2));
  BOOST_TEST(
      (expectedWait(Queue, Next, Now + milliseconds(600)) < Usual * 1.2));
}

/// A run that can't be completed by the deadline must not take a slot.
BOOST_AUTO_TEST_CASE(RejectsRunsThatCannotMeetTheirDeadline) {
  AdmissionQueue Queue = makeQueue(4);
  Instant Now = runRequests(Queue, 1, milliseconds(300), 60, Start);
  // Upstreams that report no slowdown are treated as before.
  AdmissionQueue WithoutSpeed = Queue;
  BOOST_TEST((submitRequest(WithoutSpeed,
                            makeRequest(1, 1, Now, milliseconds(200)), Now)
                  .Kind_ == AdmissionDecision::Kind::Start));
  observeSlowdown(Queue.Speed_, 100, Now);
  const QueuedRequest Short = makeRequest(1, 1, Now, milliseconds(200));
  const AdmissionDecision Decision = submitRequest(Queue, Short, Now);
  BOOST_TEST((Decision.Kind_ == AdmissionDecision::Kind::Reject));
  BOOST_TEST((Decision.RetryAfter_ <= milliseconds(200)));
  BOOST_TEST((submitRequest(Queue, makeRequest(2, 1, Now), Now).Kind_ ==
              AdmissionDecision::Kind::Start));
  // Another class of the same objective may be short.
  BOOST_TEST(
      (submitRequest(Queue, makeRequest(3, 2, Now, milliseconds(200)), Now)
           .Kind_ == AdmissionDecision::Kind::Start));
}

/// An estimate that rejects all requests of a class gets no more samples, and
/// must not reject them for ever.
BOOST_AUTO_TEST_CASE(ProbesClassesThatItRejects) {
  AdmissionQueue Queue = makeQueue(4);
  Instant Now = runRequests(Queue, 1, milliseconds(300), 60, Start);
  observeSlowdown(Queue.Speed_, 100, Now);
  Now += milliseconds(2100);
  BOOST_TEST(
      (submitRequest(Queue, makeRequest(1, 1, Now, milliseconds(200)), Now)
           .Kind_ == AdmissionDecision::Kind::Start));
}

/// Reported waits must differ by rank as the waits do.
BOOST_AUTO_TEST_CASE(ReportsWaitsByRank) {
  AdmissionQueue Queue = makeQueue(1);
  observeSlowdown(Queue.Speed_, 100, Start);
  for (std::uint64_t Number = 1; Number <= 3; ++Number)
    submitRequest(Queue, makeRequest(Number, 0, Start), Start);
  const UpstreamWork Work = loadReport(Queue, Start).Work_;
  BOOST_TEST(Work.WaitMillis_[0] > 0U);
  BOOST_TEST(Work.WaitMillis_[0] < Work.WaitMillis_[1]);
  BOOST_TEST(Work.WaitMillis_[1] == Work.WaitMillis_[3]);
  BOOST_TEST(Work.RemainingMillis_ >= 3 * Work.WaitMillis_[0]);
}

namespace {

/// Simulates an upstream with ten slots and requests of one class. Each
/// rejected caller retries once, after its Retry-After.
struct BurstSimulation {
  milliseconds Length_{200};
  std::uint32_t Class_ = 1;
  AdmissionQueue Queue_ = makeQueue(10);
  std::deque<std::pair<Instant, QueuedRequest>> Running_;
  std::multimap<Instant, QueuedRequest> Retries_;
  int RetryCount_ = 0;
  int RejectedRetries_ = 0;
  std::uint64_t Number_ = 0;

  void submit(Instant Now, bool FirstAttempt) {
    const QueuedRequest Request =
        makeRequest(++Number_, Class_, Now, milliseconds(5000));
    const AdmissionDecision Decision = submitRequest(Queue_, Request, Now);
    if (Decision.Kind_ == AdmissionDecision::Kind::Start)
      Running_.emplace_back(Now + Length_, Request);
    if (Decision.Kind_ != AdmissionDecision::Kind::Reject)
      return;
    if (FirstAttempt)
      Retries_.insert({Now + Decision.RetryAfter_, Request});
    else
      ++RejectedRetries_;
  }

  void step(Instant Now) {
    while (!Running_.empty() && Running_.front().first <= Now) {
      learnWork(Queue_, Running_.front().second, Now);
      finishRequest(Queue_, Running_.front().second, Length_);
      Running_.pop_front();
    }
    for (const QueuedRequest &Started : dispatchWaiting(Queue_, Now).Started_)
      Running_.emplace_back(Now + Length_, Started);
    while (!Retries_.empty() && Retries_.begin()->first <= Now) {
      Retries_.erase(Retries_.begin());
      ++RetryCount_;
      submit(Now, false);
    }
  }
};

} // namespace

/// Retry-After from the work of a class must not make more retries fail than
/// that from average processing times. The load is about twice the capacity for
/// one second, then a fifth of it. The count for one length of the runs depends
/// on coincidence, so it is summed over many.
BOOST_AUTO_TEST_CASE(AdmitsAsManyRetriesOfAKnownClass) {
  const auto RejectedShare = [](std::uint32_t Class) {
    int Retries = 0;
    int Rejected = 0;
    for (int Length = 160; Length <= 240; Length += 5) {
      BurstSimulation Simulation;
      Simulation.Length_ = milliseconds(Length);
      Simulation.Class_ = Class;
      for (int Millis = 0; Millis < 6000; ++Millis) {
        const Instant Now = Start + milliseconds(Millis);
        Simulation.step(Now);
        if (Millis % (Millis < 1000 ? 10 : 100) == 0)
          Simulation.submit(Now, true);
      }
      Retries += Simulation.RetryCount_;
      Rejected += Simulation.RejectedRetries_;
    }
    BOOST_TEST(Retries >= 20);
    return static_cast<double>(Rejected) / Retries;
  };
  BOOST_TEST(RejectedShare(1) <= RejectedShare(0));
}

/// The error of the estimates must be visible to operators.
BOOST_AUTO_TEST_CASE(MeasuresTheErrorOfTheEstimates) {
  AdmissionQueue Queue = makeQueue(4);
  Instant Now = runRequests(Queue, 1, milliseconds(100), 200, Start);
  const EstimateError Before = Queue.EstimateError_;
  Now = runRequests(Queue, 1, milliseconds(200), 1, Now);
  const EstimateError After = Queue.EstimateError_;
  BOOST_TEST(After.Runs_ == Before.Runs_ + 1);
  BOOST_TEST(isNear(After.RatioSum_ - Before.RatioSum_, 2, 0.05));
  BOOST_TEST(
      isNear(After.LogErrorSum_ - Before.LogErrorSum_, std::log(2), 0.03));
  Metrics DaemonMetrics;
  UpstreamWorkMetrics Work;
  Work.EstimateRatioSum_ = After.RatioSum_;
  Work.CurrentSlowdown_ = 2.5;
  DaemonMetrics.setUpstreamWork("s", Work);
  const std::string Text = DaemonMetrics.text();
  BOOST_TEST(Text.find("lagoonhitch_work_estimate_ratio_sum{service=\"s\"}") !=
             std::string::npos);
  BOOST_TEST(Text.find("lagoonhitch_upstream_slowdown{kind=\"current\","
                       "service=\"s\"} 2.5") != std::string::npos);
}

} // namespace lagoonhitch

#ifndef LAGOONHITCH_BENCH_DECISIONS_FAKE_UPSTREAM_H
#define LAGOONHITCH_BENCH_DECISIONS_FAKE_UPSTREAM_H

/// \file
/// A simulated upstream with slots, a speed, slow phases, a cold state and
/// errors.

#include "bench/decisions/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>

namespace lagoonhitch {

/// Settings of a FakeUpstream.
struct FakeUpstreamOptions {
  std::uint32_t Slots_ = 18;
  /// Mean processing time at speed 1. Half of it is constant, the rest is
  /// exponentially distributed.
  std::chrono::microseconds MeanProcessingTime_{10000};
  /// Divisor of the processing time.
  double Speed_ = 1;
  /// Requests that run concurrently while the upstream is cold; further ones
  /// are shed.
  std::uint32_t ColdSlots_ = 2;
  /// Requests that must finish before a cold upstream is warm.
  std::uint32_t RequestsUntilWarm_ = 300;
};

/// Runs as many requests concurrently as it has slots. Further ones wait in
/// order of arrival.
class FakeUpstream {
public:
  /// The outcome of a request.
  enum class Outcome { Success, Shed, Error };
  using DoneCallback = std::function<void(Outcome)>;

  FakeUpstream(EventQueue &Events, FakeUpstreamOptions Options,
               std::uint64_t Seed);

  /// Runs, queues or sheds a request.
  /// \param OnDone called with the outcome.
  void run(DoneCallback OnDone);

  /// Multiplies the processing time by Factor for requests that start within
  /// the given length of time.
  void slowDown(double Factor, Duration Length);

  /// Makes the upstream cold until it has finished RequestsUntilWarm_ requests.
  void turnCold();

  /// Sets the percentage of answers that are errors.
  void setErrorPercent(std::uint32_t Percent) { ErrorPercent_ = Percent; }

  /// Returns whether the upstream is cold.
  bool isCold() const { return Cold_; }

  /// Returns the total processing time of all started requests.
  Duration busyTime() const { return BusyTime_; }

  /// Returns the number of shed requests.
  std::uint64_t shedCount() const { return ShedCount_; }

  /// Returns the number of successful answers.
  std::uint64_t successCount() const { return SuccessCount_; }

  /// Returns when the upstream last became warm; Instant::min() for never.
  Instant warmSince() const { return WarmSince_; }

private:
  void start(DoneCallback OnDone);

  EventQueue &Events_;
  FakeUpstreamOptions Options_;
  std::mt19937_64 Random_;
  std::deque<DoneCallback> Waiting_;
  std::uint32_t Running_ = 0;
  double SlowFactor_ = 1;
  Instant SlowUntil_ = Instant::min();
  bool Cold_ = false;
  std::uint32_t FinishedSinceCold_ = 0;
  Instant WarmSince_ = Instant::min();
  std::uint32_t ErrorPercent_ = 0;
  Duration BusyTime_{};
  std::uint64_t ShedCount_ = 0;
  std::uint64_t SuccessCount_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_FAKE_UPSTREAM_H

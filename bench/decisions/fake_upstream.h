#ifndef LAGOONHITCH_BENCH_DECISIONS_FAKE_UPSTREAM_H
#define LAGOONHITCH_BENCH_DECISIONS_FAKE_UPSTREAM_H

/// \file
/// A small fake of an upstream: slots, speed, moments of slowness, coldness.

#include "bench/decisions/event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>

namespace lagoonhitch {

/// What a fake upstream is like.
struct FakeUpstreamOptions {
  std::uint32_t Slots_ = 18;
  /// Mean time of a request at speed 1; times are exponential above a half.
  std::chrono::microseconds MeanProcessingTime_{10000};
  double Speed_ = 1;
  /// Requests that it bears at a time while cold; more are shed.
  std::uint32_t ColdSlots_ = 2;
  /// Requests that it must run to become warm.
  std::uint32_t RequestsUntilWarm_ = 300;
};

/// Runs requests on its slots; those beyond wait in it, in order.
class FakeUpstream {
public:
  /// How a request ended at the upstream.
  enum class Outcome { Success, Shed, Error };
  using DoneCallback = std::function<void(Outcome)>;

  FakeUpstream(EventQueue &Events, FakeUpstreamOptions Options,
               std::uint64_t Seed);

  /// Runs a request.
  void run(DoneCallback OnDone);

  /// Makes it slower by a factor for a while.
  void slowDown(double Factor, Duration Length);

  /// Makes it cold from now on.
  void turnCold();

  /// Makes a part of its answers errors, in percent.
  void setErrorPercent(std::uint32_t Percent) { ErrorPercent_ = Percent; }

  /// Returns whether it is cold.
  bool isCold() const { return Cold_; }

  /// Returns the time of its slots that was used.
  Duration busyTime() const { return BusyTime_; }

  /// Returns how many requests it has shed.
  std::uint64_t shedCount() const { return ShedCount_; }

  /// Returns how many requests it has answered well.
  std::uint64_t successCount() const { return SuccessCount_; }

  /// Returns when it became warm last.
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

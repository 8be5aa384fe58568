#ifndef LAGOONHITCH_BENCH_LATENCY_SAMPLES_H
#define LAGOONHITCH_BENCH_LATENCY_SAMPLES_H

/// \file
/// Percentiles of recorded times.

#include "core/clock.h"

#include <chrono>
#include <vector>

namespace lagoonhitch {

/// All times of one measurement; nothing is averaged away.
class LatencySamples {
public:
  /// Adds one time.
  void add(Duration Time) { Times_.push_back(Time); }

  /// Returns the number of times.
  std::size_t count() const { return Times_.size(); }

  /// Returns the smallest time that so many in a hundred do not exceed; zero
  /// if there are none.
  std::chrono::microseconds percentile(double Percent) const;

private:
  std::vector<Duration> Times_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_LATENCY_SAMPLES_H

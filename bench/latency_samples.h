#ifndef LAGOONHITCH_BENCH_LATENCY_SAMPLES_H
#define LAGOONHITCH_BENCH_LATENCY_SAMPLES_H

/// \file
/// Percentiles of recorded latencies.

#include "core/clock.h"

#include <chrono>
#include <vector>

namespace lagoonhitch {

/// All latencies of one measurement. Percentiles are exact, since every sample
/// is kept.
class LatencySamples {
public:
  /// Adds a sample.
  void add(Duration Time) { Times_.push_back(Time); }

  /// Returns the number of samples.
  std::size_t count() const { return Times_.size(); }

  /// Returns a percentile by the nearest-rank method; zero if there are no
  /// samples.
  /// \param Percent from 0 to 100.
  std::chrono::microseconds percentile(double Percent) const;

private:
  std::vector<Duration> Times_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_LATENCY_SAMPLES_H

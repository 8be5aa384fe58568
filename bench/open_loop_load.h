#ifndef LAGOONHITCH_BENCH_OPEN_LOOP_LOAD_H
#define LAGOONHITCH_BENCH_OPEN_LOOP_LOAD_H

/// \file
/// Sends requests at a fixed rate, whether answers come or not.

#include "bench/latency_samples.h"
#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// What is sent where and how often.
struct OpenLoadOptions {
  std::string Address_;
  /// Targets of GET requests, taken in turn.
  std::vector<std::string> Targets_;
  std::uint32_t RatePerSecond_ = 1000;
  std::chrono::seconds Span_{3};
};

/// How a load has ended.
struct OpenLoadResult {
  /// From the intended time of sending to the whole answer.
  LatencyTable Latency_;
  std::uint64_t Failed_ = 0;
};

/// Runs a load in the calling thread.
OpenLoadResult runOpenLoad(const Clock &Time, const OpenLoadOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_OPEN_LOOP_LOAD_H

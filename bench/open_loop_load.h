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
struct OpenLoopLoadOptions {
  std::string Address_;
  /// Targets of GET requests, taken in turn.
  std::vector<std::string> Targets_;
  std::uint32_t RatePerSecond_ = 1000;
  std::chrono::seconds Duration_{3};
};

/// How a load has ended.
struct OpenLoopLoadResult {
  /// From the intended time of sending to the whole answer.
  LatencySamples Latency_;
  std::uint64_t Failed_ = 0;
};

/// Runs a load in the calling thread.
OpenLoopLoadResult runOpenLoopLoad(const Clock &Time,
                                   const OpenLoopLoadOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_OPEN_LOOP_LOAD_H

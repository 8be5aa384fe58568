#ifndef LAGOONHITCH_BENCH_OPEN_LOOP_LOAD_H
#define LAGOONHITCH_BENCH_OPEN_LOOP_LOAD_H

/// \file
/// An open-loop load generator: it sends requests at a fixed rate, whether or
/// not earlier ones have been answered.

#include "bench/latency_samples.h"
#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Settings of runOpenLoopLoad().
struct OpenLoopLoadOptions {
  /// `ip:port` that requests are sent to.
  std::string Address_;
  /// Targets of the GET requests, used in rotation.
  std::vector<std::string> Targets_;
  std::uint32_t RatePerSecond_ = 1000;
  std::chrono::seconds Duration_{3};
};

/// Results of a load.
struct OpenLoopLoadResult {
  /// Latencies of requests answered with status 200, from the scheduled send
  /// time to the complete answer.
  LatencySamples Latency_;
  /// All other requests.
  std::uint64_t Failed_ = 0;
};

/// Runs a load in the calling thread and returns when the last request has
/// ended.
OpenLoopLoadResult runOpenLoopLoad(const Clock &Time,
                                   const OpenLoopLoadOptions &Options);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_OPEN_LOOP_LOAD_H

#ifndef LAGOONHITCH_BENCH_BASELINE_ADMISSION_OPTIONS_H
#define LAGOONHITCH_BENCH_BASELINE_ADMISSION_OPTIONS_H

/// \file
/// Settings of the baseline admission control.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lagoonhitch {

/// Settings of an Admission.
struct AdmissionOptions {
  /// Concurrency limit for a cold upstream, in requests.
  double ColdLimit_ = 2;
  /// Maximum number of waiting requests.
  std::size_t MaxWaiting_ = 256;
  /// An answer is slow if its latency exceeds this multiple of the average.
  double SlowFactor_ = 4;
  /// Number of consecutive slow answers, sheds or failures after which an
  /// upstream is considered cold.
  std::uint32_t ColdAfter_ = 4;
  /// Factor by which the limit is lowered after a shed or a failure.
  double BackoffFactor_ = 0.7;
  /// How long the limit is not raised after a shed. Doubles with each further
  /// shed until the limit has reached the capacity.
  std::chrono::milliseconds RaisePauseAfterShed_{200};
  /// Maximum of that time.
  std::chrono::milliseconds MaxRaisePause_{3200};
  /// Weight of one answer in the average latency.
  double LatencyWeight_ = 0.05;
  /// Answers within this latency are never slow.
  std::chrono::milliseconds LatencyFloor_{10};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_BASELINE_ADMISSION_OPTIONS_H

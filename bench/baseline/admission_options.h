#ifndef LAGOONHITCH_BENCH_BASELINE_ADMISSION_OPTIONS_H
#define LAGOONHITCH_BENCH_BASELINE_ADMISSION_OPTIONS_H

/// \file
/// Settings of an Admission.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lagoonhitch {

/// Settings of an Admission.
struct AdmissionOptions {
  /// Requests that a cold upstream gets at a time.
  double ColdLimit_ = 2;
  /// Most requests that wait for an upstream.
  std::size_t MaxWaiting_ = 256;
  /// An answer slower than this many times the usual counts as slow.
  double SlowFactor_ = 4;
  /// Slow answers or sheds in a row after which an upstream counts as cold.
  std::uint32_t ColdAfter_ = 4;
  /// What the limit is multiplied by after a shed or failed answer.
  double BackoffFactor_ = 0.7;
  /// How long the limit stays after a shed before it is raised again; doubles
  /// with each shed until the upstream bears its full load.
  std::chrono::milliseconds RaisePauseAfterShed_{200};
  /// Longest such time.
  std::chrono::milliseconds MaxRaisePause_{3200};
  /// Weight of one answer in the usual latency.
  double LatencyWeight_ = 0.05;
  /// Answers faster than this are never slow.
  std::chrono::milliseconds LatencyFloor_{10};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_BASELINE_ADMISSION_OPTIONS_H

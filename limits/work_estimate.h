#ifndef LAGOONHITCH_LIMITS_WORK_ESTIMATE_H
#define LAGOONHITCH_LIMITS_WORK_ESTIMATE_H

/// \file
/// The work of requests by class, learned from their runs.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace lagoonhitch {

/// Settings of a WorkEstimate.
struct WorkEstimateOptions {
  /// Maximum number of classes. Beyond that, the class that was sampled least
  /// recently is forgotten.
  std::size_t MaxClasses_ = 256;
  /// Lowest weight of one sample in the moving averages.
  double SampleWeight_ = 0.05;
  /// Samples with more work are ignored.
  std::chrono::seconds MaxWork_{600};
};

/// The work of the requests of one class, as time at usual speed.
struct ClassWork {
  Duration Mean_{};
  /// Standard deviation of the work of single requests.
  Duration Spread_{};
  std::uint32_t Samples_ = 0;
  /// When the last sample was taken.
  Instant SampledAt_;
};

/// The work of requests by class. Class zero stands for unknown classes and has
/// no entry.
struct WorkEstimate {
  WorkEstimateOptions Options_;
  std::map<std::uint32_t, ClassWork> Classes_;
  /// All classes together.
  ClassWork All_;
};

/// Adds the work of a run. Failed runs and runs that were cut short must not be
/// added, because they say nothing about the work of complete ones.
void addWorkSample(WorkEstimate &State, std::uint32_t Class, Duration Work,
                   Instant Now);

/// Returns the work of a class; nullptr if it has no sample.
const ClassWork *findClassWork(const WorkEstimate &State, std::uint32_t Class);

/// Returns the expected work of a request. Few samples are combined with the
/// fallback, which is returned for classes without samples.
Duration expectedWork(const WorkEstimate &State, std::uint32_t Class,
                      Duration Fallback);

/// Returns how much of its work a running request still needs on average.
/// \param Spread the standard deviation of the work of such requests.
/// \param Done the work done so far.
Duration remainingWork(Duration Expected, Duration Spread, Duration Done);

/// Returns the median of a lognormal distribution.
Duration medianOf(Duration Mean, Duration Spread);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_WORK_ESTIMATE_H

#ifndef LAGOONHITCH_LIMITS_UPSTREAM_SPEED_H
#define LAGOONHITCH_LIMITS_UPSTREAM_SPEED_H

/// \file
/// The speed of an upstream, learned from the slowdown that it reports.

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace lagoonhitch {

/// Slowdowns outside of this range, in percent, are ignored.
inline constexpr std::uint32_t MinSlowdownPercent = 1;
inline constexpr std::uint32_t MaxSlowdownPercent = 10000;

/// Returns whether a reported slowdown, in percent, is plausible.
bool isPlausibleSlowdown(std::uint32_t Percent);

/// A slowdown at usual speed, in percent.
inline constexpr double UsualSlowdownPercent = 100;

/// The slowdown of an upstream: how long work takes, in percent of the usual
/// time.
struct UpstreamSpeed {
  /// The mean over time; zero if unknown.
  double MeanPercent_ = 0;
  /// The latest value and its time.
  double LatestPercent_ = 0;
  Instant LatestAt_;
  /// How long the upstream has been observed, up to the averaging period.
  Duration ObservedFor_{};
  /// workDone() at the time of the latest value.
  std::chrono::duration<double> WorkDone_{};
};

/// Returns whether a slowdown has been observed.
bool isSpeedKnown(const UpstreamSpeed &State);

/// Forgets the slowdown, for another incarnation of the upstream.
void forgetSpeed(UpstreamSpeed &State);

/// Records a slowdown that the upstream has reported. Ignores implausible
/// values.
void observeSlowdown(UpstreamSpeed &State, std::uint32_t Percent, Instant Now);

/// Returns the share, from 0 to 1, of a deviation from the mean slowdown that
/// is left on average during a period.
/// \param From the age of the deviation when the period begins.
double remainingDeviation(Duration From, Duration Length);

/// Returns the expected mean slowdown during a period, in percent. It fades
/// from the latest value to the mean.
/// \param Age the age of the latest value when the period begins.
double fadedSlowdown(double MeanPercent, double LatestPercent, Duration Age,
                     Duration Length);

/// Returns the expected slowdown as a factor: of the run that does some work
/// from now on, or of the present moment if the work is zero. One if unknown.
double expectedSlowdown(const UpstreamSpeed &State, Duration Work, Instant Now);

/// Returns the work that a request would have received since some fixed time,
/// as time at usual speed. The difference of two such values is the work done
/// in between. An upstream of unknown speed has the usual speed.
std::chrono::duration<double> workDone(const UpstreamSpeed &State, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_UPSTREAM_SPEED_H

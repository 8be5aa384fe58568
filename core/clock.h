#ifndef LAGOONHITCH_CORE_CLOCK_H
#define LAGOONHITCH_CORE_CLOCK_H

/// \file
/// The source of time. All decision code receives the time as an argument;
/// only the outer layers own a Clock.

#include <chrono>

namespace lagoonhitch {

/// A point on a monotonic time line that also advances while the machine is
/// suspended.
using Instant = std::chrono::steady_clock::time_point;

/// The resolution that all time spans of this project use.
using Duration = std::chrono::steady_clock::duration;

/// Interface to a clock.
class Clock {
public:
  virtual ~Clock() = default;

  /// Returns the current monotonic time.
  virtual Instant now() const = 0;

  /// Returns the current calendar time, for logs and the audit trail only.
  virtual std::chrono::system_clock::time_point wallNow() const = 0;
};

/// Converts a span to whole milliseconds, rounded towards zero.
std::chrono::milliseconds toMillis(Duration Span);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_CLOCK_H

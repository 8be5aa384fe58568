#ifndef LAGOONHITCH_CORE_CLOCK_H
#define LAGOONHITCH_CORE_CLOCK_H

/// \file
/// The source of time. Decision code takes the current time as an argument;
/// only the outer layers own a Clock.

#include <chrono>

namespace lagoonhitch {

/// A point in monotonic time, which also advances while the host is suspended.
using Instant = std::chrono::steady_clock::time_point;

/// A time span, in the resolution of Instant.
using Duration = std::chrono::steady_clock::duration;

/// Interface of a clock.
class Clock {
public:
  virtual ~Clock() = default;

  /// Returns the current monotonic time.
  virtual Instant now() const = 0;

  /// Returns the current wall-clock time. For logs, the audit trail and times
  /// that are compared with other processes' wall-clock times, not for
  /// timeouts.
  virtual std::chrono::system_clock::time_point wallNow() const = 0;
};

/// Converts a time span to whole milliseconds, rounded towards zero.
std::chrono::milliseconds toMillis(Duration Span);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_CLOCK_H

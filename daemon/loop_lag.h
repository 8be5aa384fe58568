#ifndef LAGOONHITCH_DAEMON_LOOP_LAG_H
#define LAGOONHITCH_DAEMON_LOOP_LAG_H

/// \file
/// Measures how late the serving loop runs its timers. A task that is due waits
/// for all tasks before it, so the lag is about the time of one turn of the
/// loop: each step of a request waits that long.

#include "core/clock.h"

#include <optional>

namespace lagoonhitch {

/// The lag of the serving loop.
struct LoopLag {
  /// When the next measurement is due; std::nullopt before the first one.
  std::optional<Instant> DueAt_;
  /// Lag at the last measurement.
  Duration Last_{};
  /// Highest lag since the last report.
  Duration Highest_{};
  Instant LastReportAt_ = Instant::min();
  /// When the loop last was late enough for requests to wait noticeably.
  std::optional<Instant> BusyAt_;
};

/// Measures the lag in a timer's callback.
/// \param Interval the time until the timer is due again.
/// \returns the highest lag since the last report if it is to be reported: it
/// is long, and the last report is at least a second old.
std::optional<Duration> measureLag(LoopLag &Lag, Duration Interval,
                                   Instant Now);

/// Returns whether the loop is or was late a moment ago, so that requests which
/// are read now may have waited long.
bool isBusy(const LoopLag &Lag, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_LOOP_LAG_H

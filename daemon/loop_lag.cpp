#include "daemon/loop_lag.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Lag from which it is reported.
constexpr std::chrono::milliseconds LongLag{100};
/// Shortest time between two reports.
constexpr std::chrono::seconds ReportInterval{1};

} // namespace

std::optional<Duration> measureLag(LoopLag &Lag, Duration Interval,
                                   Instant Now) {
  Lag.Last_ =
      Lag.DueAt_ ? std::max(Now - *Lag.DueAt_, Duration::zero()) : Duration();
  Lag.DueAt_ = Now + Interval;
  Lag.Highest_ = std::max(Lag.Highest_, Lag.Last_);
  const bool Recent = Lag.LastReportAt_ != Instant::min() &&
                      Now - Lag.LastReportAt_ < ReportInterval;
  if (Lag.Highest_ < LongLag || Recent)
    return std::nullopt;
  Lag.LastReportAt_ = Now;
  const Duration Reported = Lag.Highest_;
  Lag.Highest_ = Duration::zero();
  return Reported;
}

} // namespace lagoonhitch

#include "daemon/loop_lag.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Lag from which it is reported.
constexpr std::chrono::milliseconds LongLag{100};
/// Lag from which requests wait noticeably: each needs several turns.
constexpr std::chrono::milliseconds BusyLag{50};
/// How long the loop counts as busy after such a lag.
constexpr std::chrono::seconds BusyTime{2};
/// Shortest time between two reports.
constexpr std::chrono::seconds ReportInterval{1};

} // namespace

std::optional<Duration> measureLag(LoopLag &Lag, Duration Interval,
                                   Instant Now) {
  Lag.Last_ =
      Lag.DueAt_ ? std::max(Now - *Lag.DueAt_, Duration::zero()) : Duration();
  Lag.DueAt_ = Now + Interval;
  if (Lag.Last_ >= BusyLag)
    Lag.BusyAt_ = Now;
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

bool isBusy(const LoopLag &Lag, Instant Now) {
  return Lag.BusyAt_ && Now - *Lag.BusyAt_ < BusyTime;
}

} // namespace lagoonhitch

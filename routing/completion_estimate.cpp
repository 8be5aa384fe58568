#include "routing/completion_estimate.h"

#include "limits/upstream_speed.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

using Seconds = std::chrono::duration<double>;

/// Longer times in reports count as this long.
constexpr Seconds MaxReportedTime{60};

Seconds reportedTime(std::uint32_t Millis) {
  return std::min<Seconds>(std::chrono::milliseconds(Millis), MaxReportedTime);
}

Duration toDuration(Seconds Span) {
  return std::chrono::duration_cast<Duration>(Span);
}

/// Returns how old the member's last report is.
Duration reportAge(const FleetMember &Member, Instant Now) {
  const Instant ReportedAt =
      std::max(Member.LastDigestAt_, Member.LoadReportedAt_);
  if (ReportedAt == Instant::min())
    return Duration::max() / 2;
  return std::max(Now - ReportedAt, Duration::zero());
}

/// Returns the expected slowdown during a period, as a factor.
double slowdownDuring(const UpstreamWork &Work, Duration Age, Seconds Length) {
  const std::uint32_t Current =
      isPlausibleSlowdown(Work.CurrentSlowdownPercent_)
          ? Work.CurrentSlowdownPercent_
          : Work.SlowdownPercent_;
  return fadedSlowdown(Work.SlowdownPercent_, Current, Age,
                       toDuration(Length)) /
         UsualSlowdownPercent;
}

} // namespace

std::optional<CompletionEstimate> estimateCompletion(const FleetMember &Member,
                                                     const RequestWork &Request,
                                                     double SentSinceReport,
                                                     Instant Now) {
  const LoadDigest &Digest = Member.Digest_;
  const UpstreamWork &Work = Digest.Work_;
  const bool Known = isPlausibleSlowdown(Work.SlowdownPercent_) &&
                     Request.Work_ > Duration::zero();
  if (!Known)
    return std::nullopt;
  const Duration Age = reportAge(Member, Now);
  const double Mean = Work.SlowdownPercent_ / UsualSlowdownPercent;
  const Seconds RunWork = Request.Work_;
  const double Slots = std::max<double>(Digest.Slots_, 1);
  const double Free = std::max(0.0, Slots - Digest.Running_ - Digest.Queued_);
  // The report knows neither of these requests nor of their work, which is
  // assumed to be like that of this one.
  const double SentAhead = std::max(0.0, SentSinceReport - Free);
  const std::size_t Rank =
      std::min<std::size_t>(Request.Rank_, ReportedRanks - 1);
  const Seconds Wait = reportedTime(Work.WaitMillis_[Rank]) +
                       RunWork * (Mean * SentAhead / Slots);
  const Seconds Run =
      RunWork * slowdownDuring(Work, Age + toDuration(Wait), RunWork * Mean);
  const Seconds Remaining = reportedTime(Work.RemainingMillis_) / Slots;
  CompletionEstimate Estimate;
  Estimate.Wait_ = toDuration(Wait);
  Estimate.Run_ = toDuration(Run);
  Estimate.Drain_ =
      toDuration(Remaining * slowdownDuring(Work, Age, Remaining * Mean));
  return Estimate;
}

} // namespace lagoonhitch

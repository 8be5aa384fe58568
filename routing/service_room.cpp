#include "routing/service_room.h"

#include <algorithm>
#include <cstddef>

namespace lagoonhitch {

namespace {

Duration ageOf(const FleetMember &Member, Instant Now) {
  return Now - std::max(Member.LastDigestAt_, Member.LoadReportedAt_);
}

/// Returns whether requests are sent to a member, as by chooseHost() while it
/// has a choice.
bool takesRequests(const Fleet &State, const FleetMember &Member,
                   const ServiceRoomOptions &Options, Instant Now) {
  return acceptsRequests(State, Member) && Member.Digest_.Accepting_ &&
         !Member.Digest_.Stopping_ && Now >= Member.AvoidUntil_ &&
         hasRecentLoad(Member, Options.MaxLoadAge_, Now);
}

/// Returns how long a request of a rank waits at a member that has a queue;
/// std::nullopt if it may find a free slot.
std::optional<Duration> reportedWait(const FleetMember &Member,
                                     std::uint32_t Rank,
                                     const ServiceRoomOptions &Options,
                                     Instant Now) {
  const LoadDigest &Digest = Member.Digest_;
  const std::size_t Index = std::min<std::size_t>(Rank, ReportedRanks - 1);
  const std::chrono::milliseconds Wait(Digest.Work_.WaitMillis_[Index]);
  const std::chrono::milliseconds MaxAge = std::min(
      std::chrono::milliseconds(Digest.IntervalMillis_) + Options.ReportMargin_,
      Options.MaxReportAge_);
  const Duration Age = ageOf(Member, Now);
  const bool HasFreeSlot =
      Digest.Queued_ == 0 && Digest.Running_ < Digest.Slots_;
  if (Digest.Slots_ == 0 || HasFreeSlot || Age > MaxAge || Wait <= Age ||
      Wait > Options.MaxReportedWait_)
    return std::nullopt;
  return Wait - Age;
}

} // namespace

ServiceRoom serviceRoom(const Fleet &State, const std::string &Service,
                        const QueuedRequest &Request,
                        const std::set<std::string> &Tried,
                        const ServiceRoomOptions &Options, Instant Now) {
  ServiceRoom Room;
  for (const auto &[Host, Member] : State.Members_) {
    if (Member.Record_.Service_ != Service || Tried.contains(Host) ||
        !takesRequests(State, Member, Options, Now))
      continue;
    const std::optional<Duration> Wait =
        reportedWait(Member, Request.Rank_, Options, Now);
    const Duration ProcessingTime = std::min<Duration>(
        std::chrono::milliseconds(Member.Digest_.ProcessingMillis_),
        Request.Objective_ / 2);
    const Duration CanWait =
        longestUsefulWait(Request, ProcessingTime, Options.Admission_, Now);
    if (!Wait || *Wait <= CanWait)
      return {};
    const Duration Until = *Wait - std::max(CanWait, Duration::zero());
    Room.First_ = Room.Full_ ? std::min(Room.First_, Until) : Until;
    Room.Last_ = std::max(Room.Last_, Until);
    Room.ProcessingTime_ = std::max(Room.ProcessingTime_, ProcessingTime);
    Room.Full_ = true;
  }
  return Room;
}

std::optional<Duration> rejectAtOnce(const ServiceRoom &Room,
                                     const QueuedRequest &Request,
                                     const ServiceRoomOptions &Options,
                                     std::uint64_t Random, Instant Now) {
  constexpr std::uint64_t Steps = 1U << 16U;
  const Duration TimeLeft = Request.Deadline_ - Now;
  const double ProbeDraw = static_cast<double>(Random % Steps) / Steps;
  if (!Room.Full_ || Request.Chained_ || TimeLeft < Options.MinTimeLeft_ ||
      ProbeDraw < Options.ProbeShare_)
    return std::nullopt;
  // Each slot becomes free once in a processing time.
  const Duration End = std::max(Room.Last_, Room.First_ + Room.ProcessingTime_);
  const double Draw = static_cast<double>(Random / Steps % Steps) / Steps;
  const Duration Spread =
      std::chrono::duration_cast<Duration>((End - Room.First_) * Draw);
  const Duration Longest = std::chrono::duration_cast<Duration>(
      TimeLeft * Options.MaxRetryFraction_);
  return std::min(Room.First_ + Spread, Longest);
}

} // namespace lagoonhitch

#include "membership/fleet.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Consecutive digests that may be lost before a member counts as unresponsive.
constexpr int MaxLostDigests = 3;
/// Longest time of a daemon's shutdown; the platform ends it after that.
constexpr std::chrono::seconds MaxShutdownTime{6};

} // namespace

FleetMember *findMember(Fleet &State, const std::string &Host) {
  const auto It = State.Members_.find(Host);
  return It == State.Members_.end() ? nullptr : &It->second;
}

const FleetMember *findMember(const Fleet &State, const std::string &Host) {
  const auto It = State.Members_.find(Host);
  return It == State.Members_.end() ? nullptr : &It->second;
}

void applyRecord(Fleet &State, const MemberRecord &Record, Instant Now) {
  FleetMember &Member = State.Members_[Record.Host_];
  if (Member.FirstSeenAt_ == Instant::min())
    Member.FirstSeenAt_ = Now;
  const bool SameProcess = Member.Record_.Process_ == Record.Process_;
  if (Member.Record_.StartMillis_ != Record.StartMillis_ || !SameProcess)
    Member.AvoidUntil_ = Instant::min();
  if (!SameProcess)
    Member.Process_ = Record.Process_;
  Member.Record_ = Record;
}

void applyDigest(Fleet &State, const LoadDigest &Digest, Instant Now) {
  FleetMember *Member = findMember(State, Digest.Host_);
  if (Member == nullptr)
    return;
  const bool SameProcess = Member->Digest_.Process_ == Digest.Process_;
  if (SameProcess && Digest.Sequence_ <= Member->Digest_.Sequence_)
    return;
  if (!SameProcess)
    Member->AvoidUntil_ = Instant::min();
  Member->Digest_ = Digest;
  Member->Process_ = Digest.Process_;
  Member->LastDigestAt_ = Now;
  Member->SentSinceLoadUpdate_ = 0;
}

void applyLoadReport(FleetMember &Member, const LoadReport &Load, Instant Now) {
  LoadDigest &Digest = Member.Digest_;
  Digest.Running_ = Load.Running_;
  Digest.Queued_ = Load.Queued_;
  Digest.Slots_ = Load.Slots_;
  Digest.ProcessingMillis_ = Load.ProcessingMillis_;
  Digest.RateLimit_ = Load.RateLimit_;
  Digest.Work_ = Load.Work_;
  Member.LoadReportedAt_ = Now;
  Member.SentSinceLoadUpdate_ = 0;
}

Duration digestTimeout(const FleetMember &Member, Duration Minimum) {
  const Duration Timeout =
      std::chrono::milliseconds(Member.Digest_.IntervalMillis_) *
      MaxLostDigests;
  return std::max(Minimum, Timeout);
}

Duration contactTimeout(const FleetMember *Member, const FleetMember *Own) {
  const bool HasDigest =
      Member != nullptr && Member->LastDigestAt_ != Instant::min();
  if (HasDigest)
    return digestTimeout(*Member, Duration::zero());
  return Own == nullptr ? Duration::zero()
                        : digestTimeout(*Own, Duration::zero());
}

bool hasRecentDigest(const FleetMember &Member, Duration MaxAge, Instant Now) {
  return Member.LastDigestAt_ != Instant::min() &&
         Now - Member.LastDigestAt_ <= digestTimeout(Member, MaxAge);
}

bool hasRecentLoad(const FleetMember &Member, Duration MaxAge, Instant Now) {
  const bool ReportRecent = Member.LoadReportedAt_ != Instant::min() &&
                            Now - Member.LoadReportedAt_ <= MaxAge;
  return ReportRecent || hasRecentDigest(Member, MaxAge, Now);
}

bool isAboutToEnd(const FleetMember &Member, Instant Now) {
  const LoadDigest &Digest = Member.Digest_;
  return Digest.Stopping_ && !Digest.Accepting_ &&
         Digest.Process_ == Member.Process_ &&
         Now - Member.LastDigestAt_ <= MaxShutdownTime;
}

bool acceptsRequests(const Fleet &State, const FleetMember &Member) {
  return Member.Record_.State_ == UpstreamState::Ready &&
         !State.EvacuatedZones_.contains(Member.Record_.Zone_);
}

std::vector<std::string> servingHosts(const Fleet &State,
                                      const std::string &Service,
                                      Duration MaxAge, Instant Now) {
  std::vector<std::string> Hosts;
  for (const auto &[Host, Member] : State.Members_)
    if (Member.Record_.Service_ == Service && acceptsRequests(State, Member) &&
        Member.Digest_.Accepting_ && hasRecentDigest(Member, MaxAge, Now))
      Hosts.push_back(Host);
  return Hosts;
}

} // namespace lagoonhitch

#include "routing/upstream_health.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr double Hundred = 100;
/// Probes that an entry daemon may save up while it has no request for them.
constexpr double MaxSavedProbes = 2;

/// Returns the share of failed requests that a member reports. Values out of
/// range are ignored.
double reportedShare(const FleetMember &Member) {
  const std::uint32_t Percent = Member.Digest_.Work_.FailurePercent_;
  return Percent <= Hundred ? Percent / Hundred : 0;
}

bool takesPart(const Fleet &Members, const FleetMember &Member,
               const std::string &Service) {
  return Member.Record_.Service_ == Service &&
         acceptsRequests(Members, Member) && Member.Digest_.Accepting_;
}

/// Returns the median; the lower of the two middle values of an even number, so
/// that one of two upstreams can stand out. Zero if there are none.
double lowerMedian(std::vector<double> Shares) {
  if (Shares.empty())
    return 0;
  const auto Middle =
      Shares.begin() + static_cast<std::ptrdiff_t>((Shares.size() - 1) / 2);
  std::nth_element(Shares.begin(), Middle, Shares.end());
  return *Middle;
}

bool areTooMany(std::size_t Avoided, std::size_t Upstreams,
                const UpstreamHealthOptions &Options) {
  return static_cast<double>(Avoided) >
         Options.MaxAvoidedShare_ * static_cast<double>(Upstreams);
}

/// Updates the known upstreams, their incarnations and their shares of
/// failures. Returns the shares.
std::vector<double> updateShares(ServiceHealth &State, const Fleet &Members,
                                 const std::string &Service,
                                 const UpstreamHealthOptions &Options,
                                 Instant Now) {
  std::vector<double> Shares;
  std::map<std::string, UpstreamHealth> Known;
  for (const auto &[Host, Member] : Members.Members_) {
    if (!takesPart(Members, Member, Service))
      continue;
    UpstreamHealth Health;
    const auto Before = State.Upstreams_.find(Host);
    const bool SameIncarnation =
        Before != State.Upstreams_.end() &&
        (Before->second.Upstream_.empty() ||
         Before->second.Upstream_ == Member.Record_.Upstream_);
    if (SameIncarnation)
      Health = std::move(Before->second);
    Health.Upstream_ = Member.Record_.Upstream_;
    Health.FailureShare_ = std::max(
        reportedShare(Member), failureShare(Health.Seen_, Options.Seen_, Now));
    Shares.push_back(Health.FailureShare_);
    Known.emplace(Host, std::move(Health));
  }
  State.Upstreams_ = std::move(Known);
  return Shares;
}

/// Returns whether an upstream fails more often than the median by enough to be
/// avoided.
bool standsOut(const UpstreamHealth &Health, double Median,
               const UpstreamHealthOptions &Options) {
  return Health.FailureShare_ - Median >=
         (Health.Avoided_ ? Options.AvoidUntil_ : Options.AvoidFrom_);
}

/// Returns the upstreams that stand out; none if they are too many.
std::set<std::string> hostsToAvoid(const ServiceHealth &State, double Median,
                                   const UpstreamHealthOptions &Options) {
  std::set<std::string> Hosts;
  for (const auto &[Host, Health] : State.Upstreams_)
    if (standsOut(Health, Median, Options))
      Hosts.insert(Host);
  return areTooMany(Hosts.size(), State.Upstreams_.size(), Options)
             ? std::set<std::string>()
             : Hosts;
}

/// Returns a fraction of one from the low bits of a random number.
double fractionOf(std::uint64_t Random) {
  constexpr std::uint64_t Parts = 1024;
  return static_cast<double>(Random % Parts) / static_cast<double>(Parts);
}

} // namespace

void addOwnRequestEnd(ServiceHealth &State, const std::string &Host,
                      bool Failed, const std::optional<LoadReport> &Report,
                      const UpstreamHealthOptions &Options, Instant Now) {
  const bool Reported = Report && Report->Work_.FailurePercent_ > 0;
  if (Failed && Reported)
    return;
  addRequestEnd(State.Upstreams_[Host].Seen_, Failed, Options.Seen_, Now);
  State.FailureSeen_ = State.FailureSeen_ || Failed;
}

std::vector<HealthChange> assessUpstreams(ServiceHealth &State,
                                          const Fleet &Members,
                                          const std::string &Service,
                                          const UpstreamHealthOptions &Options,
                                          std::uint64_t Random, Instant Now) {
  const bool IsRecent = State.AssessedAt_ != Instant::min() &&
                        Now - State.AssessedAt_ < Options.AssessInterval_;
  if (IsRecent && !State.FailureSeen_)
    return {};
  State.AssessedAt_ = Now;
  State.FailureSeen_ = false;
  const double Median =
      lowerMedian(updateShares(State, Members, Service, Options, Now));
  const std::set<std::string> ToAvoid = hostsToAvoid(State, Median, Options);
  std::vector<HealthChange> Changes;
  for (auto &[Host, Health] : State.Upstreams_) {
    const double Usual = 1 - Median + Options.MinChance_;
    const double Own = 1 - Health.FailureShare_ + Options.MinChance_;
    Health.Attempts_ = std::max(1.0, Usual / Own);
    const bool Avoided = ToAvoid.contains(Host);
    if (Avoided == Health.Avoided_)
      continue;
    Health.Avoided_ = Avoided;
    Health.Probes_ = {1, MaxSavedProbes, fractionOf(Random), Now};
    Changes.push_back(
        {Host, Health.Upstream_, Avoided, Health.FailureShare_, Median});
  }
  return Changes;
}

std::optional<std::string> takeProbe(ServiceHealth &State, bool Idempotent,
                                     std::size_t Daemons,
                                     const UpstreamHealthOptions &Options,
                                     Instant Now) {
  const double Needed = Idempotent ? 1 : MaxSavedProbes;
  for (auto &[Host, Health] : State.Upstreams_) {
    if (!Health.Avoided_)
      continue;
    Health.Probes_.PerSecond_ =
        Options.ProbesPerSecond_ /
        static_cast<double>(std::max<std::size_t>(Daemons, 1));
    refillTokens(Health.Probes_, Now);
    if (Health.Probes_.Tokens_ < Needed)
      continue;
    Health.Probes_.Tokens_ -= 1;
    return Host;
  }
  return std::nullopt;
}

double expectedAttempts(const ServiceHealth *State, const std::string &Host) {
  if (State == nullptr)
    return 1;
  const auto Found = State->Upstreams_.find(Host);
  return Found == State->Upstreams_.end() ? 1 : Found->second.Attempts_;
}

bool isAvoided(const ServiceHealth *State, const std::string &Host) {
  if (State == nullptr)
    return false;
  const auto Found = State->Upstreams_.find(Host);
  return Found != State->Upstreams_.end() && Found->second.Avoided_;
}

std::size_t avoidedUpstreams(const ServiceHealth &State) {
  return static_cast<std::size_t>(
      std::count_if(State.Upstreams_.begin(), State.Upstreams_.end(),
                    [](const auto &Entry) { return Entry.second.Avoided_; }));
}

std::set<std::string> failingHosts(const Fleet &Members,
                                   const std::string &Service,
                                   const UpstreamHealthOptions &Options) {
  ServiceHealth Reported;
  const double Median = lowerMedian(
      updateShares(Reported, Members, Service, Options, Instant::min()));
  return hostsToAvoid(Reported, Median, Options);
}

} // namespace lagoonhitch

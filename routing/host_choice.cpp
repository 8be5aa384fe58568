#include "routing/host_choice.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonhitch {

namespace {

using Seconds = std::chrono::duration<double>;

/// Number of upstreams that are compared, in the own zone and in the others.
/// With more, entry daemons that know the same load reports would choose the
/// same upstream until the next report.
constexpr std::size_t ZoneSample = 2;
constexpr std::size_t OtherZonesSample = 4;
/// Number of entry daemons that are assumed to send as many requests to an
/// upstream as this one between two load reports.
constexpr double EntryDaemons = 4;
/// Load up to which an upstream counts as lightly loaded, as a fraction of its
/// slots.
constexpr double LightLoad = 0.7;
/// Cost factors per unit of load, as a fraction of the slots: for the whole
/// load and, in addition, for the load above LightLoad.
constexpr double LightLoadWeight = 0.2;
constexpr double OverloadWeight = 3;
/// Weight of an upstream's own processing time, from 0 to 1, in the geometric
/// mean with the typical one.
constexpr double SpeedWeight = 0.2;
/// Load from which on upstreams count as equally loaded, as a fraction of their
/// slots. Requests wait by rank, so the length of a long queue does not tell
/// how long they wait: the shortest queue may be the one with the most urgent
/// ones.
constexpr double MaxLoad = 8;

/// Objective up to which the load has its usual weight, and the highest weight.
constexpr Seconds ShortObjective{0.3};
constexpr double MaxLoadWeight = 3;

/// Bits of the random number that are skipped for each drawn upstream.
constexpr std::size_t BitsPerDraw = 12;

/// Returns the expected cost of all attempts until one succeeds.
std::chrono::duration<double> costOfSuccess(const FleetMember &Member,
                                            const HostChoice &Choice,
                                            const HostChoiceOptions &Options,
                                            Instant Now) {
  return std::chrono::duration<double>(costOf(Member, Choice, Options, Now)) *
         expectedAttempts(Choice.Health_, Member.Record_.Host_);
}

const FleetMember *cheaperOf(const FleetMember *Left, const FleetMember *Right,
                             const HostChoice &Choice,
                             const HostChoiceOptions &Options, Instant Now) {
  if (Left == nullptr || Right == nullptr)
    return Left == nullptr ? Right : Left;
  return costOfSuccess(*Left, Choice, Options, Now) <=
                 costOfSuccess(*Right, Choice, Options, Now)
             ? Left
             : Right;
}

bool isCandidate(const Fleet &State, const FleetMember &Member,
                 const HostChoice &Choice, const HostChoiceOptions &Options,
                 bool PreferredOnly, Instant Now) {
  if (Member.Record_.Service_ != Choice.Service_ ||
      !acceptsRequests(State, Member) ||
      Choice.Tried_.contains(Member.Record_.Host_))
    return false;
  if (!PreferredOnly)
    return !isAboutToEnd(Member, Now);
  return Member.Digest_.Accepting_ && !Member.Digest_.Stopping_ &&
         Now >= Member.AvoidUntil_ &&
         (Member.Record_.Host_ == Choice.Probe_ ||
          !isAvoided(Choice.Health_, Member.Record_.Host_)) &&
         hasRecentLoad(Member, Options.MaxLoadAge_, Now);
}

std::vector<const FleetMember *> candidatesOf(const Fleet &State,
                                              const HostChoice &Choice,
                                              const HostChoiceOptions &Options,
                                              bool PreferredOnly, Instant Now) {
  std::vector<const FleetMember *> Candidates;
  for (const auto &[Host, Member] : State.Members_)
    if (isCandidate(State, Member, Choice, Options, PreferredOnly, Now))
      Candidates.push_back(&Member);
  return Candidates;
}

/// Removes a random candidate and returns it; nullptr if there is none.
const FleetMember *takeRandom(std::vector<const FleetMember *> &Candidates,
                              std::uint64_t Random) {
  if (Candidates.empty())
    return nullptr;
  const auto Index = static_cast<std::ptrdiff_t>(Random % Candidates.size());
  const auto Taken = Candidates.begin() + Index;
  const FleetMember *Member = *Taken;
  Candidates.erase(Taken);
  return Member;
}

/// Returns the cheapest of a random sample of the candidates; one of them at
/// random if several cost the same; nullptr if there is none.
const FleetMember *cheapestOfSample(std::vector<const FleetMember *> Candidates,
                                    std::size_t SampleSize,
                                    std::uint64_t Random,
                                    const HostChoice &Choice,
                                    const HostChoiceOptions &Options,
                                    Instant Now) {
  const FleetMember *Cheapest = nullptr;
  for (std::size_t Drawn = 0; Drawn < SampleSize; ++Drawn) {
    const FleetMember *Member =
        takeRandom(Candidates, Random >> (Drawn * BitsPerDraw));
    Cheapest = cheaperOf(Cheapest, Member, Choice, Options, Now);
  }
  return Cheapest;
}

/// Returns the processing time that is used for the cost: a weighted geometric
/// mean of the upstream's own and the typical one. With its own alone, a fast
/// upstream would be filled up while others are idle.
Seconds processingTimeFor(const LoadDigest &Digest,
                          const HostChoiceOptions &Options) {
  const Seconds Typical = Options.InitialProcessingTime_;
  if (Digest.ProcessingMillis_ == 0)
    return Typical;
  const Seconds Own = std::chrono::milliseconds(Digest.ProcessingMillis_);
  return Typical * std::pow(Own / Typical, SpeedWeight);
}

/// Returns the weight of the load, which is at least one. With a long objective
/// it is higher, so that such requests leave fast upstreams to those for which
/// the speed matters more.
double loadWeight(const HostChoice &Choice) {
  return std::clamp(Seconds(Choice.Objective_) / ShortObjective, 1.0,
                    MaxLoadWeight);
}

} // namespace

Duration costOf(const FleetMember &Member, const HostChoice &Choice,
                const HostChoiceOptions &Options, Instant Now) {
  const LoadDigest &Digest = Member.Digest_;
  const double Slots = std::max<double>(Digest.Slots_, 1);
  const double Sent = EntryDaemons * Member.SentSinceLoadUpdate_;
  const double Reported = Digest.Running_ + Digest.Queued_ + Sent;
  // Unanswered requests of this daemon reveal a slow upstream before its next
  // load report does.
  const double Load = std::min(
      std::max<double>(Reported, Member.InFlight_) + 1.0, MaxLoad * Slots);
  const double Overload = std::max(0.0, Load - LightLoad * Slots);
  const double Factor =
      1 + (LightLoadWeight * Load + OverloadWeight * Overload) / Slots;
  const Seconds Usual = processingTimeFor(Digest, Options);
  const Seconds LoadCost = Usual * (Factor - 1) * loadWeight(Choice);
  Seconds Cost = Usual * Factor;
  if (const std::optional<CompletionEstimate> Estimate =
          estimateCompletion(Member, Choice.Request_, Sent, Now))
    Cost = Estimate->Run_ +
           std::max<Seconds>(LoadCost,
                             Estimate->Wait_ +
                                 Seconds(Estimate->Drain_) * LightLoadWeight);
  else if (Choice.Request_.Work_ > Duration::zero())
    // The other upstreams are compared by the work of this request, so one that
    // reports no slowdown must be too, or it would hardly ever be chosen.
    Cost = Seconds(Choice.Request_.Work_) *
               (Usual / Seconds(Options.InitialProcessingTime_)) +
           LoadCost;
  if (Digest.RateLimit_ > 0)
    Cost += Seconds((Digest.Queued_ + Member.SentSinceLoadUpdate_ + 0.5) /
                    Digest.RateLimit_);
  if (Member.Record_.Zone_ != Choice.OwnZone_)
    Cost += Options.ZoneCost_;
  return std::chrono::duration_cast<Duration>(Cost);
}

std::optional<std::string> chooseHost(const Fleet &State,
                                      const HostChoice &Choice,
                                      const HostChoiceOptions &Options,
                                      std::uint64_t Random, Instant Now) {
  std::vector<const FleetMember *> Candidates =
      candidatesOf(State, Choice, Options, true, Now);
  for (const FleetMember *Member : Candidates)
    if (Member->Record_.Host_ == Choice.Probe_)
      return Choice.Probe_;
  if (Candidates.empty())
    Candidates = candidatesOf(State, Choice, Options, false, Now);
  if (Candidates.empty())
    return std::nullopt;
  const auto FirstOther =
      std::partition(Candidates.begin(), Candidates.end(),
                     [&Choice](const FleetMember *Member) {
                       return Member->Record_.Zone_ == Choice.OwnZone_;
                     });
  const FleetMember *InZone =
      cheapestOfSample({Candidates.begin(), FirstOther}, ZoneSample, Random,
                       Choice, Options, Now);
  const FleetMember *InOtherZones = cheapestOfSample(
      {FirstOther, Candidates.end()}, OtherZonesSample,
      Random >> (ZoneSample * BitsPerDraw), Choice, Options, Now);
  const FleetMember *Chosen =
      cheaperOf(InZone, InOtherZones, Choice, Options, Now);
  return Chosen->Record_.Host_;
}

} // namespace lagoonhitch

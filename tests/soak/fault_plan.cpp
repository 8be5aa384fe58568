#include "tests/soak/fault_plan.h"

#include <algorithm>
#include <random>
#include <set>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

/// What a fault affects.
enum class Target { Daemon, Upstream, Connections, Store, Manifest };

struct FaultKindInfo {
  const char *Name_;
  Fault::Kind Kind_;
  Target Target_;
  milliseconds MinDuration_;
  milliseconds MaxDuration_;
};

constexpr milliseconds MinSlowRunTime{600};
constexpr std::size_t PlannedKindCount = 3;
/// Kinds of which the first part of a plan is drawn; the others are added to
/// it.
constexpr std::size_t DrawnKindCount = 16;
constexpr FaultKindInfo FaultKinds[] = {
    {"stop daemon", Fault::Kind::StopDaemon, Target::Daemon, milliseconds(6500),
     milliseconds(7500)},
    {"reload daemon", Fault::Kind::ReloadDaemon, Target::Daemon,
     milliseconds(100), milliseconds(200)},
    {"drain upstream", Fault::Kind::DrainUpstream, Target::Upstream,
     milliseconds(6000), milliseconds(7000)},
    {"kill daemon", Fault::Kind::KillDaemon, Target::Daemon, milliseconds(50),
     milliseconds(6000)},
    {"suspend daemon", Fault::Kind::SuspendDaemon, Target::Daemon,
     milliseconds(100), milliseconds(6000)},
    {"kill upstream", Fault::Kind::KillUpstream, Target::Upstream,
     milliseconds(100), milliseconds(200)},
    {"suspend upstream", Fault::Kind::SuspendUpstream, Target::Upstream,
     milliseconds(100), milliseconds(5000)},
    {"drop traffic", Fault::Kind::DropTraffic, Target::Connections,
     milliseconds(100), milliseconds(200)},
    {"drop responses", Fault::Kind::DropResponses, Target::Connections,
     milliseconds(100), milliseconds(200)},
    {"reset connections", Fault::Kind::ResetConnections, Target::Connections,
     milliseconds(100), milliseconds(200)},
    {"delay connections", Fault::Kind::DelayConnections, Target::Connections,
     milliseconds(300), milliseconds(4000)},
    {"store down", Fault::Kind::StoreDown, Target::Store, milliseconds(300),
     milliseconds(5000)},
    {"store rejects", Fault::Kind::StoreRejects, Target::Store,
     milliseconds(300), milliseconds(5000)},
    {"store slow", Fault::Kind::StoreSlow, Target::Store, milliseconds(300),
     milliseconds(4000)},
    {"store loses replies", Fault::Kind::StoreLosesReplies, Target::Store,
     milliseconds(300), milliseconds(2000)},
    {"store applies late", Fault::Kind::StoreAppliesLate, Target::Store,
     milliseconds(300), milliseconds(3000)},
    {"refuse connections", Fault::Kind::RefuseConnections, Target::Connections,
     milliseconds(500), milliseconds(3000)},
    {"ignore connections", Fault::Kind::IgnoreConnections, Target::Connections,
     milliseconds(500), milliseconds(3000)},
    {"slow runs", Fault::Kind::SlowRuns, Target::Upstream, milliseconds(3000),
     milliseconds(5000)},
    {"state limit", Fault::Kind::StateLimit, Target::Upstream,
     milliseconds(2000), milliseconds(7000)},
    {"publish manifest", Fault::Kind::PublishManifest, Target::Manifest,
     milliseconds(0), milliseconds(0)},
};

const FaultKindInfo &infoOf(Fault::Kind Kind) {
  return *std::find_if(
      std::begin(FaultKinds), std::end(FaultKinds),
      [Kind](const FaultKindInfo &Info) { return Info.Kind_ == Kind; });
}

bool haveSameTarget(const Fault &Left, const Fault &Right) {
  const Target LeftTarget = infoOf(Left.Kind_).Target_;
  return LeftTarget == infoOf(Right.Kind_).Target_ &&
         (LeftTarget == Target::Store || Left.Host_ == Right.Host_);
}

bool overlapInTime(const Fault &Left, const Fault &Right) {
  constexpr milliseconds Margin{500};
  return Left.Start_ < Right.Start_ + Right.Duration_ + Margin &&
         Right.Start_ < Left.Start_ + Left.Duration_ + Margin;
}

/// Generates the same numbers with every standard library, unlike the
/// distributions in <random>.
class SeededRandom {
public:
  explicit SeededRandom(std::uint64_t Seed) : Random_(Seed) {}

  /// Returns a number in [0, Limit).
  std::uint64_t below(std::uint64_t Limit) { return Random_() % Limit; }

  milliseconds between(milliseconds Minimum, milliseconds Maximum) {
    const auto Span = static_cast<std::uint64_t>((Maximum - Minimum).count());
    return Minimum + milliseconds(below(Span + 1));
  }

private:
  std::mt19937_64 Random_;
};

/// Adds a fault unless it affects the same target as another one at the same
/// time.
void addFault(FaultPlan &Plan, const Fault &Candidate) {
  const bool Conflicts =
      std::any_of(Plan.Faults_.begin(), Plan.Faults_.end(),
                  [&Candidate](const Fault &Other) {
                    return haveSameTarget(Candidate, Other) &&
                           overlapInTime(Candidate, Other);
                  });
  if (!Conflicts)
    Plan.Faults_.push_back(Candidate);
}

/// Draws host, start and duration of a fault.
Fault drawFault(const FaultKindInfo &Info, SeededRandom &Random,
                std::uint32_t Hosts, milliseconds MaxStart) {
  Fault Drawn;
  Drawn.Kind_ = Info.Kind_;
  Drawn.Host_ = static_cast<std::uint32_t>(Random.below(Hosts));
  Drawn.Start_ = Random.between(milliseconds(0), MaxStart);
  Drawn.Duration_ = Random.between(Info.MinDuration_, Info.MaxDuration_);
  return Drawn;
}

/// Adds a phase in which requests outlast status queries: the upstreams take
/// long, each another time, and new connections to some hosts fail meanwhile.
void addSlowRuns(FaultPlan &Plan, SeededRandom &Random, std::uint32_t Hosts,
                 milliseconds MaxStart) {
  const FaultKindInfo &Info = infoOf(Fault::Kind::SlowRuns);
  Fault Slow;
  Slow.Kind_ = Info.Kind_;
  Slow.Start_ = Random.between(milliseconds(0), MaxStart);
  Slow.Duration_ = Random.between(Info.MinDuration_, Info.MaxDuration_);
  for (std::uint32_t Host = 0; Host < Hosts; ++Host) {
    Slow.Host_ = Host;
    Slow.RunTime_ = Random.between(MinSlowRunTime, MaxSlowRunTime);
    addFault(Plan, Slow);
  }
  const std::uint64_t Count = Random.below(4);
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    // Requests that are sent over ignored connections may fail.
    const bool Refuses = Plan.PlannedOnly_ || Random.below(2) == 0;
    const FaultKindInfo &Failure =
        infoOf(Refuses ? Fault::Kind::RefuseConnections
                       : Fault::Kind::IgnoreConnections);
    Fault Candidate;
    Candidate.Kind_ = Failure.Kind_;
    Candidate.Host_ = static_cast<std::uint32_t>(Random.below(Hosts));
    Candidate.Start_ =
        Slow.Start_ + Random.between(milliseconds(200), Info.MinDuration_);
    Candidate.Duration_ =
        Random.between(Failure.MinDuration_, Failure.MaxDuration_);
    addFault(Plan, Candidate);
  }
}

/// Adds up to two upstreams that state a limit of their request rate.
void addStatedLimits(FaultPlan &Plan, SeededRandom &Random, std::uint32_t Hosts,
                     milliseconds MaxStart) {
  const FaultKindInfo &Info = infoOf(Fault::Kind::StateLimit);
  const std::uint64_t Count = Random.below(3);
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    addFault(Plan, drawFault(Info, Random, Hosts, MaxStart));
  }
}

/// Adds connections that break or go silent during planned operations. The
/// answers of the requests on them are looked up over other connections.
void addBrokenConnections(FaultPlan &Plan, SeededRandom &Random,
                          std::uint32_t Hosts, milliseconds MaxStart) {
  constexpr std::uint64_t MaxCount = 4;
  const std::uint64_t Count = 1 + Random.below(MaxCount);
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    const Fault::Kind Kind = Random.below(2) == 0
                                 ? Fault::Kind::ResetConnections
                                 : Fault::Kind::DropResponses;
    addFault(Plan, drawFault(infoOf(Kind), Random, Hosts, MaxStart));
  }
}

/// Adds a daemon that stands still from about the publication of a manifest
/// until connections to it have been idle for longer than the manifest allows.
void addPauseBeside(FaultPlan &Plan, SeededRandom &Random, std::uint32_t Hosts,
                    const Fault &Manifest) {
  constexpr milliseconds MaxLead{400};
  // Connections that have waited since before a manifest keep their timeout.
  constexpr milliseconds MaxLag{4000};
  constexpr milliseconds MinExcess{100};
  constexpr milliseconds MaxExcess{2000};
  Fault Pause;
  Pause.Kind_ = Fault::Kind::SuspendDaemon;
  Pause.Host_ = static_cast<std::uint32_t>(Random.below(Hosts));
  Pause.Start_ = std::max(
      milliseconds(0), Manifest.Start_ - MaxLead +
                           Random.between(milliseconds(0), MaxLead + MaxLag));
  Pause.Duration_ =
      Manifest.IdleTimeout_ + Random.between(MinExcess, MaxExcess);
  addFault(Plan, Pause);
}

/// Adds manifests in quick succession, each with another short idle timeout.
void addManifests(FaultPlan &Plan, SeededRandom &Random, std::uint32_t Hosts,
                  milliseconds MaxStart) {
  constexpr std::uint64_t MinCount = 2;
  constexpr std::uint64_t MaxCount = 6;
  constexpr milliseconds MinInterval{20};
  constexpr milliseconds MaxInterval{800};
  constexpr milliseconds MinIdleTimeout{400};
  constexpr milliseconds MaxIdleTimeout{2000};
  const std::uint64_t Count = MinCount + Random.below(MaxCount - MinCount + 1);
  Fault Manifest;
  Manifest.Kind_ = Fault::Kind::PublishManifest;
  Manifest.Start_ = Random.between(milliseconds(0), MaxStart);
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    Manifest.IdleTimeout_ = Random.between(MinIdleTimeout, MaxIdleTimeout);
    Plan.Faults_.push_back(Manifest);
    // A planned operation must not suspend a daemon.
    if (Random.below(2) == 0 && !Plan.PlannedOnly_)
      addPauseBeside(Plan, Random, Hosts, Manifest);
    Manifest.Start_ += Random.between(MinInterval, MaxInterval);
  }
}

/// Returns whether a service keeps an upstream that works if a host's daemon
/// stops: hosts with numbers of the same parity serve the same service.
bool leavesWorkingHost(const FaultPlan &Plan, std::uint32_t Stopped,
                       std::uint32_t Hosts) {
  std::set<std::uint32_t> Affected = {Stopped};
  for (const Fault &Planned : Plan.Faults_)
    if ((Planned.Kind_ == Fault::Kind::StopDaemon ||
         Planned.Kind_ == Fault::Kind::DrainUpstream) &&
        Planned.Host_ % 2 == Stopped % 2)
      Affected.insert(Planned.Host_);
  return Affected.size() < Hosts / 2;
}

/// Adds up to three stops of daemons, which may overlap with each other and
/// with the other operations, as in a rolling restart.
void addStops(FaultPlan &Plan, SeededRandom &Random, std::uint32_t Hosts,
              milliseconds MaxStart) {
  constexpr std::uint64_t MaxCount = 3;
  const std::uint64_t Count = 1 + Random.below(MaxCount);
  for (std::uint64_t Index = 0; Index < Count; ++Index) {
    const Fault Candidate =
        drawFault(infoOf(Fault::Kind::StopDaemon), Random, Hosts, MaxStart);
    if (leavesWorkingHost(Plan, Candidate.Host_, Hosts))
      addFault(Plan, Candidate);
  }
}

/// Returns the parameters of a fault in parentheses; empty if it has none.
std::string describeParameters(const Fault &Planned) {
  if (Planned.Kind_ == Fault::Kind::SlowRuns)
    return " (" + std::to_string(Planned.RunTime_.count()) + " ms a request)";
  if (Planned.Kind_ == Fault::Kind::PublishManifest)
    return " (idle timeout of " + std::to_string(Planned.IdleTimeout_.count()) +
           " ms)";
  return "";
}

} // namespace

const char *faultName(Fault::Kind Kind) { return infoOf(Kind).Name_; }

FaultPlan generateFaultPlan(std::uint64_t Seed, std::uint32_t Round,
                            std::uint32_t Hosts) {
  constexpr std::uint64_t RoundSeedStep = 1000003;
  constexpr milliseconds MaxStart{6000};
  SeededRandom Random(Seed * RoundSeedStep + Round);
  FaultPlan Plan;
  Plan.PlannedOnly_ = Random.below(4) == 0;
  const std::size_t Count = 1 + Random.below(Plan.PlannedOnly_ ? 2 : 6);
  const std::size_t KindCount =
      Plan.PlannedOnly_ ? PlannedKindCount : DrawnKindCount;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const FaultKindInfo &Info = FaultKinds[Random.below(KindCount)];
    addFault(Plan, drawFault(Info, Random, Hosts, MaxStart));
  }
  // Numbers of their own keep the plans of earlier seeds but for these
  // additions.
  SeededRandom SlowRandom(~(Seed * RoundSeedStep + Round));
  if (SlowRandom.below(2) == 0)
    addSlowRuns(Plan, SlowRandom, Hosts, MaxStart);
  constexpr std::uint64_t LimitSeedMask = 0x5A5A5A5A5A5A5A5AULL;
  SeededRandom LimitRandom((Seed * RoundSeedStep + Round) ^ LimitSeedMask);
  addStatedLimits(Plan, LimitRandom, Hosts, MaxStart);
  constexpr std::uint64_t BreakSeedMask = 0x3C3C3C3C3C3C3C3CULL;
  // Connections also break near the end of a stop.
  constexpr milliseconds MaxBreakStart{10000};
  SeededRandom BreakRandom((Seed * RoundSeedStep + Round) ^ BreakSeedMask);
  if (Plan.PlannedOnly_ && BreakRandom.below(2) == 0)
    addBrokenConnections(Plan, BreakRandom, Hosts, MaxBreakStart);
  constexpr std::uint64_t StopSeedMask = 0xC3C3C3C3C3C3C3C3ULL;
  SeededRandom StopRandom((Seed * RoundSeedStep + Round) ^ StopSeedMask);
  if (Plan.PlannedOnly_ && StopRandom.below(2) == 0)
    addStops(Plan, StopRandom, Hosts, MaxStart);
  constexpr std::uint64_t ManifestSeedMask = 0x9696969696969696ULL;
  SeededRandom ManifestRandom((Seed * RoundSeedStep + Round) ^
                              ManifestSeedMask);
  // One round in four keeps the idle timeout of the settings.
  constexpr std::uint64_t RoundsPerRoundWithout = 4;
  if (ManifestRandom.below(RoundsPerRoundWithout) != 0)
    addManifests(Plan, ManifestRandom, Hosts, MaxStart);
  std::sort(Plan.Faults_.begin(), Plan.Faults_.end(),
            [](const Fault &Left, const Fault &Right) {
              return Left.Start_ < Right.Start_;
            });
  return Plan;
}

std::optional<milliseconds> shortestIdleTimeout(const FaultPlan &Plan) {
  std::optional<milliseconds> Shortest;
  for (const Fault &Planned : Plan.Faults_)
    if (Planned.Kind_ == Fault::Kind::PublishManifest)
      Shortest = std::min(Shortest.value_or(Planned.IdleTimeout_),
                          Planned.IdleTimeout_);
  return Shortest;
}

std::string describe(const FaultPlan &Plan) {
  std::string Text;
  for (const Fault &Planned : Plan.Faults_)
    Text += "  " + std::to_string(Planned.Start_.count()) +
            " ms: " + faultName(Planned.Kind_) + " on host " +
            std::to_string(Planned.Host_) + " for " +
            std::to_string(Planned.Duration_.count()) + " ms" +
            describeParameters(Planned) + "\n";
  return Text;
}

} // namespace lagoonhitch

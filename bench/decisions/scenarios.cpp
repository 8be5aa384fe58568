#include "bench/decisions/scenarios.h"

#include "bench/decisions/service_simulation.h"
#include "ownership/key_balance.h"
#include "routing/host_choice.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <map>
#include <sstream>

namespace lagoonhitch {

namespace {

constexpr PolicyKind Policies[] = {
    PolicyKind::Current,    PolicyKind::Baseline,      PolicyKind::Random,
    PolicyKind::RoundRobin, PolicyKind::LeastInFlight, PolicyKind::TwoChoices};

/// Runs a simulation with a seed and returns the value of a figure.
using Measure = std::function<double(std::uint64_t Seed)>;

/// Measures a figure for several seeds.
ScenarioRow measureSeeds(const std::string &ScenarioFunction,
                         const std::string &Policy, const std::string &Figure,
                         std::uint64_t FirstSeed, std::uint32_t Seeds,
                         bool AtLeast, const Measure &Value) {
  std::vector<std::pair<double, std::uint64_t>> Values;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed)
    Values.emplace_back(Value(Seed), Seed);
  std::sort(Values.begin(), Values.end());
  ScenarioRow Row;
  Row.Scenario_ = ScenarioFunction;
  Row.Policy_ = Policy;
  Row.Figure_ = Figure;
  Row.Median_ = Values[Values.size() / 2].first;
  const std::pair<double, std::uint64_t> &Worst =
      AtLeast ? Values.front() : Values.back();
  Row.Worst_ = Worst.first;
  Row.WorstSeed_ = Worst.second;
  Row.IsLowerBound_ = AtLeast;
  return Row;
}

FakeUpstreamOptions upstreamOfSpeed(double Speed) {
  FakeUpstreamOptions Options;
  Options.Speed_ = Speed;
  return Options;
}

/// Returns the settings for the shopredeem service: 4 upstreams in 4 zones with
/// a delay of 0.5 ms between zones.
/// \param Load request rate as a fraction of the capacity.
ServiceSimulationOptions shopredeemOptions(double Load) {
  ServiceSimulationOptions Options;
  Options.Upstreams_.assign(4, upstreamOfSpeed(1));
  Options.Zones_ = 4;
  Options.Rate_ = 4 * 18 * 100 * Load;
  return Options;
}

double highPriorityP99(const ServiceSimulationResult &Result) {
  return static_cast<double>(
      Result.Latency_[static_cast<std::size_t>(Priority::High)]
          .percentile(99)
          .count());
}

using Rows = std::vector<ScenarioRow>;

/// Measures how evenly upstreams of different speed are utilised.
Rows imbalance(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (PolicyKind Policy : Policies) {
    All.push_back(measureSeeds(
        "imbalance", policyName(Policy), "highest/mean utilisation", First,
        Seeds, false, [Policy](std::uint64_t Seed) {
          ServiceSimulationOptions Options;
          for (double Speed : {1.0, 1.0, 1.0, 2.0, 2.0, 4.0})
            Options.Upstreams_.push_back(upstreamOfSpeed(Speed));
          Options.Rate_ = 11 * 18 * 100 * 0.6;
          Options.Policy_ = Policy;
          Options.Seed_ = Seed;
          return simulateService(Options).Imbalance_;
        }));
  }
  All[0].Bound_ = 1.10;
  return All;
}

/// Measures by how much upstreams that are slow for a short time raise the p99
/// latency.
Rows stragglers(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (PolicyKind Policy : Policies) {
    All.push_back(measureSeeds(
        "stragglers", policyName(Policy), "p99 with/without", First, Seeds,
        false, [Policy](std::uint64_t Seed) {
          ServiceSimulationOptions Options = shopredeemOptions(0.5);
          Options.Policy_ = Policy;
          Options.Seed_ = Seed;
          const double Without = highPriorityP99(simulateService(Options));
          Options.Stragglers_ = true;
          return highPriorityP99(simulateService(Options)) / Without;
        }));
  }
  All[0].Bound_ = 1.5;
  return All;
}

ServiceSimulationOptions coldOptions(PolicyKind Policy, bool Admission,
                                     std::uint64_t Seed) {
  ServiceSimulationOptions Options = shopredeemOptions(0.6);
  Options.ColdAt_ = std::chrono::milliseconds(3000);
  Options.Duration_ = std::chrono::milliseconds(20000);
  Options.Policy_ = Policy;
  Options.UseAdmission_ = Admission;
  Options.Seed_ = Seed;
  return Options;
}

/// Measures the load on an upstream that turns cold, and its share of the load
/// once it is warm again.
Rows cold(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (const bool Current : {true, false}) {
    const PolicyKind Policy =
        Current ? PolicyKind::Current : PolicyKind::TwoChoices;
    const std::string Name = Current ? "ours" : "two choices, no admission";
    // All 18 slots may be full when the upstream turns cold, and up to five
    // answers may be needed to detect it.
    All.push_back(measureSeeds(
        "cold", Name, "shed by the cold upstream", First, Seeds, false,
        [Policy, Current](std::uint64_t Seed) {
          return static_cast<double>(
              simulateService(coldOptions(Policy, Current, Seed)).ShedByCold_);
        }));
    All.back().Bound_ = Current ? 18 + 5 : 0;
    All.push_back(measureSeeds(
        "cold", Name, "share when warm again", First, Seeds, true,
        [Policy, Current](std::uint64_t Seed) {
          return simulateService(coldOptions(Policy, Current, Seed))
              .ShareAtEnd_;
        }));
    All.back().Bound_ = Current ? 0.8 : 0;
  }
  return All;
}

ServiceSimulationOptions overloadOptions(bool Current, std::uint64_t Seed) {
  ServiceSimulationOptions Options = shopredeemOptions(0.8);
  Options.OverloadFrom_ = std::chrono::milliseconds(2000);
  Options.OverloadRate_ = 4 * 18 * 100 * 1.6;
  Options.Deadlines_ = {std::chrono::milliseconds(1000),
                        std::chrono::milliseconds(1000),
                        std::chrono::milliseconds(500)};
  Options.Policy_ = Current ? PolicyKind::Current : PolicyKind::TwoChoices;
  Options.UseAdmission_ = Current;
  Options.Seed_ = Seed;
  return Options;
}

/// Measures goodput and latency under sustained overload.
Rows overload(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (const bool Current : {true, false}) {
    const std::string Name = Current ? "ours" : "two choices, no admission";
    All.push_back(measureSeeds("rain", Name, "goodput/capacity", First, Seeds,
                               true, [Current](std::uint64_t Seed) {
                                 const ServiceSimulationResult Result =
                                     simulateService(
                                         overloadOptions(Current, Seed));
                                 return Result.Goodput_ / Result.Capacity_;
                               }));
    All.back().Bound_ = Current ? 0.95 : 0;
    All.push_back(measureSeeds("rain", Name, "highest priority p99 ms", First,
                               Seeds, false, [Current](std::uint64_t Seed) {
                                 return highPriorityP99(simulateService(
                                            overloadOptions(Current, Seed))) /
                                        1000;
                               }));
    All.back().Bound_ = Current ? 500 : 0;
  }
  return All;
}

ServiceSimulationOptions retryStormOptions(bool Current, std::uint64_t Seed) {
  ServiceSimulationOptions Options = shopredeemOptions(0.6);
  Options.ErrorPercent_ = 30;
  Options.ErrorsFrom_ = std::chrono::milliseconds(2000);
  Options.ErrorsUntil_ = std::chrono::milliseconds(8000);
  Options.Duration_ = std::chrono::milliseconds(12000);
  Options.UseRetryBudget_ = Current;
  Options.Seed_ = Seed;
  return Options;
}

/// Measures the extra load that retries cause while upstreams return errors,
/// and whether errors persist after the fault.
Rows retryStorm(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (const bool Current : {true, false}) {
    const std::string Name = Current ? "ours" : "three retries";
    All.push_back(measureSeeds(
        "retry storm", Name, "extra load %", First, Seeds, false,
        [Current](std::uint64_t Seed) {
          const ServiceSimulationResult Result =
              simulateService(retryStormOptions(Current, Seed));
          double Sent = 0;
          for (std::uint64_t Count : Result.Sent_)
            Sent += static_cast<double>(Count);
          return 100 * (static_cast<double>(Result.Attempts_) / Sent - 1);
        }));
    All.back().Bound_ = Current ? 10 : 0;
    All.push_back(
        measureSeeds("retry storm", Name, "errors 2 s after the fault", First,
                     Seeds, false, [Current](std::uint64_t Seed) {
                       return static_cast<double>(
                           simulateService(retryStormOptions(Current, Seed))
                               .ErrorsAfterFault_);
                     }));
    All.back().Bound_ = Current ? 0.5 : 0;
  }
  return All;
}

/// A site with a shared service. Requests enter in three of its five zones.
struct SiteSize {
  std::uint32_t Daemons_ = 0;
  std::uint32_t Upstreams_ = 0;
  /// The bound of the busiest upstream's arrivals, divided by the mean, at
  /// HerdBoundLoad; zero for none.
  double Bound_ = 0;
};

constexpr SiteSize SiteSizes[] = {
    {30, 12, 0}, {88, 34, 1.15}, {88, 9, 1.15}, {194, 75, 1.25}};
/// Request rate for which the bounds hold, as a fraction of the capacity.
constexpr double HerdBoundLoad = 0.8;

/// Request rate and age of load reports of a run of the herd scenario.
struct HerdLoad {
  /// Request rate as a fraction of the capacity.
  double Load_ = 0;
  std::chrono::milliseconds DigestInterval_{0};
};

constexpr HerdLoad HerdLoads[] = {
    {HerdBoundLoad, std::chrono::milliseconds(200)},
    {HerdBoundLoad, std::chrono::milliseconds(1000)},
    {HerdBoundLoad, std::chrono::milliseconds(2000)},
    {0.5, std::chrono::milliseconds(1000)},
    {1.0, std::chrono::milliseconds(1000)},
    {1.5, std::chrono::milliseconds(1000)}};

ServiceSimulationOptions herdOptions(const SiteSize &Size, const HerdLoad &Load,
                                     std::uint64_t Seed) {
  constexpr std::chrono::milliseconds ProcessingTime{200};
  constexpr std::uint32_t Slots = 16;
  FakeUpstreamOptions Upstream;
  Upstream.Slots_ = Slots;
  Upstream.MeanProcessingTime_ = ProcessingTime;
  ServiceSimulationOptions Options;
  Options.Upstreams_.assign(Size.Upstreams_, Upstream);
  Options.Daemons_ = Size.Daemons_;
  Options.Zones_ = 5;
  Options.CallerZones_ = 3;
  Options.ZoneCost_ = HostChoiceOptions().ZoneCost_;
  Options.DigestInterval_ = Load.DigestInterval_;
  Options.SampleDigests_ = true;
  Options.Rate_ = Load.Load_ * Size.Upstreams_ * Slots /
                  std::chrono::duration<double>(ProcessingTime).count();
  Options.Seed_ = Seed;
  return Options;
}

double queueTimeMillis(const ServiceSimulationResult &Result, double Percent) {
  constexpr double MicrosPerMilli = 1000;
  return static_cast<double>(Result.QueueTime_.percentile(Percent).count()) /
         MicrosPerMilli;
}

double refusedPercent(const ServiceSimulationResult &Result) {
  std::uint64_t Sent = 0;
  for (const std::uint64_t Count : Result.Sent_)
    Sent += Count;
  return 100 * static_cast<double>(Result.Rejected_) /
         static_cast<double>(Sent);
}

std::string describe(const SiteSize &Size, const HerdLoad &Load) {
  std::ostringstream Text;
  Text << Size.Upstreams_ << " of " << Size.Daemons_ << ", " << std::fixed
       << std::setprecision(1) << Load.Load_ << ", "
       << std::chrono::duration<double>(Load.DigestInterval_).count() << " s";
  return Text.str();
}

Rows herdRows(const SiteSize &Size, const HerdLoad &Load, std::uint64_t First,
              std::uint32_t Seeds) {
  std::map<std::uint64_t, ServiceSimulationResult> Results;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed)
    Results[Seed] = simulateService(herdOptions(Size, Load, Seed));
  Rows All;
  const auto AddRow = [&](const std::string &Figure, auto Value) {
    All.push_back(measureSeeds(
        "herd", describe(Size, Load), Figure, First, Seeds, false,
        [&](std::uint64_t Seed) { return Value(Results.at(Seed)); }));
  };
  using Result = ServiceSimulationResult;
  AddRow("busiest/mean arrivals",
         [](const Result &Run) { return Run.BusiestToMean_; });
  All.back().Bound_ = Load.Load_ == HerdBoundLoad ? Size.Bound_ : 0;
  AddRow("same, worst second",
         [](const Result &Run) { return Run.BusiestToMeanInSecond_; });
  AddRow("time in queue p50 ms",
         [](const Result &Run) { return queueTimeMillis(Run, 50); });
  AddRow("time in queue p99 ms",
         [](const Result &Run) { return queueTimeMillis(Run, 99); });
  AddRow("refused %", refusedPercent);
  return All;
}

/// Measures how evenly many entry daemons spread requests when their load
/// reports are old. Rows are named by upstreams and daemons, request rate as a
/// fraction of the capacity, and time between two reports.
Rows herd(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (const SiteSize &Size : SiteSizes)
    for (const HerdLoad &Load : HerdLoads)
      for (const ScenarioRow &Row : herdRows(Size, Load, First, Seeds))
        All.push_back(Row);
  return All;
}

constexpr std::uint32_t ChurnShards = 1200;

/// The owner of each shard.
using Placement = std::vector<MemberId>;

/// Returns a hash of two numbers, mixed by the SplitMix64 finalizer.
std::uint64_t hashPair(std::uint64_t A, std::uint64_t B) {
  std::uint64_t Mixed = A * 0x9E3779B97F4A7C15ULL + B;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

Placement placeByModulo(const std::vector<MemberId> &Members) {
  Placement Result(ChurnShards);
  for (std::uint32_t Id = 0; Id < ChurnShards; ++Id)
    Result[Id] = Members[Id % Members.size()];
  return Result;
}

Placement placeByRendezvous(const std::vector<MemberId> &Members) {
  Placement Result(ChurnShards);
  for (std::uint32_t Id = 0; Id < ChurnShards; ++Id)
    Result[Id] = *std::max_element(Members.begin(), Members.end(),
                                   [Id](MemberId A, MemberId B) {
                                     return hashPair(Id, A) < hashPair(Id, B);
                                   });
  return Result;
}

/// Places shards with the daemon's key placement. The key table is kept between
/// calls, as in a site. Requests are spread evenly over the keys.
class KeyTablePlacer {
public:
  KeyTablePlacer() {
    for (KeyId Key = 0; Key <= LastKey; Key += KeyStep)
      EvenRates_[Key] = 1;
  }

  Placement place(const std::vector<MemberId> &Members) {
    placeUnowned(Members);
    // Rebalances one host after the other until no host has keys to move.
    for (bool Moved = true; Moved;) {
      Moved = false;
      for (MemberId Id : Members)
        Moved = rebalanceFrom(Id, Members) || Moved;
    }
    Placement Result;
    for (std::uint32_t Shard = 0; Shard < ChurnShards; ++Shard) {
      const KeyId Key = Shard * ((LastKey + 1) / ChurnShards);
      Result.push_back(std::stoull(findRow(Table_, Key)->Owner_.Host_));
    }
    return Result;
  }

private:
  static constexpr KeyId KeyStep = 16;

  KeyOwnershipInputs inputsFor(const std::vector<MemberId> &Members) const {
    KeyOwnershipInputs Inputs;
    Inputs.KeyRates_ = &EvenRates_;
    for (MemberId Id : Members) {
      KeyPeer Peer;
      Peer.Host_ = std::to_string(Id);
      Peer.AcceptsKeys_ = true;
      Peer.Capacity_ = static_cast<double>(EvenRates_.size());
      for (const KeyRow &Row : rowsOf(Table_, Peer.Host_))
        Peer.Rate_ += static_cast<double>(sizeOf(Row.Range_)) / KeyStep;
      Inputs.Peers_.push_back(std::move(Peer));
    }
    return Inputs;
  }

  void assign(const KeyPlacement &Placement) {
    KeyRow Row;
    Row.Range_ = Placement.Range_;
    Row.Owner_.Host_ = Placement.Host_;
    assignKeys(Table_, Row);
    mergeRows(Table_);
  }

  /// Assigns the keys that have no owner or whose owner is no longer a member.
  void placeUnowned(const std::vector<MemberId> &Members) {
    std::vector<KeyRange> Unowned;
    if (Table_.Rows_.empty())
      Unowned.push_back({0, LastKey});
    for (const KeyRow &Row : Table_.Rows_) {
      const MemberId Owner = std::stoull(Row.Owner_.Host_);
      if (std::find(Members.begin(), Members.end(), Owner) == Members.end())
        Unowned.push_back(Row.Range_);
    }
    for (const KeyPlacement &Placement :
         placeKeys(Unowned, inputsFor(Members), ""))
      assign(Placement);
  }

  /// Moves keys away from a host that has more than its share of the load.
  /// \returns whether keys were moved.
  bool rebalanceFrom(MemberId Id, const std::vector<MemberId> &Members) {
    const std::string Host = std::to_string(Id);
    KeyOwnershipOptions Options;
    Options.RebalanceMinGap_ = 0.02;
    Options.RebalanceMinLoad_ = 0;
    const std::optional<KeyPlacement> Move =
        findMove(rowsOf(Table_, Host), Host, inputsFor(Members), Options);
    if (!Move)
      return false;
    assign(*Move);
    return true;
  }

  KeyTable Table_;
  std::map<KeyId, double> EvenRates_;
};

/// Returns the number of shards whose owner differs.
std::size_t countMoved(const Placement &Before, const Placement &After) {
  std::size_t Moved = 0;
  for (std::size_t Id = 0; Id < Before.size(); ++Id)
    Moved += Before[Id] != After[Id] ? 1 : 0;
  return Moved;
}

using Placer = std::function<Placement(const std::vector<MemberId> &)>;

/// Returns the number of moved shards, divided by the minimum that an even
/// placement requires. Six members, then one joins, one leaves and one is
/// replaced.
double churnRatio(const Placer &Place, std::uint64_t Seed) {
  std::vector<MemberId> Members;
  for (MemberId Id = 1; Id <= 6; ++Id)
    Members.push_back(hashPair(Seed, Id) % 100000 + 1);
  std::sort(Members.begin(), Members.end());
  const Placement First = Place(Members);
  Members.push_back(100000 + Seed);
  const Placement AfterJoin = Place(Members);
  const MemberId Removed = Members[Seed % 6];
  std::erase(Members, Removed);
  const Placement AfterLeave = Place(Members);
  Members[Seed % 5] = 200000 + Seed;
  const Placement AfterReplacement = Place(Members);
  const double Moved = static_cast<double>(
      countMoved(First, AfterJoin) + countMoved(AfterJoin, AfterLeave) +
      countMoved(AfterLeave, AfterReplacement));
  const double MinMoved =
      ChurnShards / 7.0 + ChurnShards / 7.0 + ChurnShards / 6.0;
  return Moved / MinMoved;
}

/// Measures how many shards move when the members change.
Rows churn(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  All.push_back(measureSeeds("churn", "ours", "moved/least", First, Seeds,
                             false, [](std::uint64_t Seed) {
                               KeyTablePlacer Placer;
                               return churnRatio(
                                   [&Placer](const std::vector<MemberId> &M) {
                                     return Placer.place(M);
                                   },
                                   Seed);
                             }));
  All.back().Bound_ = 1.1;
  All.push_back(measureSeeds(
      "churn", "modulo", "moved/least", First, Seeds, false,
      [](std::uint64_t Seed) { return churnRatio(placeByModulo, Seed); }));
  All.push_back(measureSeeds(
      "churn", "rendezvous", "moved/least", First, Seeds, false,
      [](std::uint64_t Seed) { return churnRatio(placeByRendezvous, Seed); }));
  return All;
}

using ScenarioFunction = Rows (*)(std::uint64_t, std::uint32_t);

const std::vector<std::pair<std::string, ScenarioFunction>> &scenarios() {
  static const std::vector<std::pair<std::string, ScenarioFunction>> All = {
      {"imbalance", imbalance},
      {"churn", churn},
      {"stragglers", stragglers},
      {"cold", cold},
      {"rain", overload},
      {"retry_storm", retryStorm},
      {"herd", herd}};
  return All;
}

} // namespace

std::vector<std::string> scenarioNames() {
  std::vector<std::string> Names;
  for (const auto &[Name, Run] : scenarios())
    Names.push_back(Name);
  return Names;
}

std::vector<ScenarioRow> runScenario(const std::string &Name,
                                     std::uint64_t FirstSeed,
                                     std::uint32_t Seeds) {
  for (const auto &[Known, Run] : scenarios())
    if (Known == Name)
      return Run(FirstSeed, Seeds);
  return {};
}

bool meetsBound(const ScenarioRow &Row) {
  if (Row.Bound_ == 0)
    return true;
  return Row.IsLowerBound_ ? Row.Worst_ >= Row.Bound_
                           : Row.Worst_ <= Row.Bound_;
}

} // namespace lagoonhitch

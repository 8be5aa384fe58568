#include "bench/decisions/scenarios.h"

#include "bench/decisions/service_simulation.h"
#include "ownership/key_balance.h"

#include <algorithm>
#include <functional>
#include <map>

namespace lagoonhitch {

namespace {

constexpr ChoicePolicy Policies[] = {
    ChoicePolicy::Ours,          ChoicePolicy::Earlier,
    ChoicePolicy::Random,        ChoicePolicy::RoundRobin,
    ChoicePolicy::LeastInFlight, ChoicePolicy::TwoChoices};

/// Returns the value of a figure for one seed.
using Measure = std::function<double(std::uint64_t Seed)>;

ScenarioRow measureSeeds(const std::string &Scenario, const std::string &Policy,
                         const std::string &Figure, std::uint64_t FirstSeed,
                         std::uint32_t Seeds, bool AtLeast,
                         const Measure &Value) {
  std::vector<std::pair<double, std::uint64_t>> Values;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed)
    Values.emplace_back(Value(Seed), Seed);
  std::sort(Values.begin(), Values.end());
  ScenarioRow Row;
  Row.Scenario_ = Scenario;
  Row.Policy_ = Policy;
  Row.Figure_ = Figure;
  Row.Median_ = Values[Values.size() / 2].first;
  const std::pair<double, std::uint64_t> &Worst =
      AtLeast ? Values.front() : Values.back();
  Row.Worst_ = Worst.first;
  Row.WorstSeed_ = Worst.second;
  Row.AtLeast_ = AtLeast;
  return Row;
}

FakeUpstreamOptions upstreamOfSpeed(double Speed) {
  FakeUpstreamOptions Kind;
  Kind.Speed_ = Speed;
  return Kind;
}

/// The fleet of shopredeem: 4 instances in 4 zones, 0.5 ms apart.
SharedRunOptions shopredeem(double Load) {
  SharedRunOptions Options;
  Options.Upstreams_.assign(4, upstreamOfSpeed(1));
  Options.Zones_ = 4;
  Options.Rate_ = 4 * 18 * 100 * Load;
  return Options;
}

double highPriorityP99(const SharedRunResult &Result) {
  return static_cast<double>(
      Result.Latency_[static_cast<std::size_t>(Priority::High)]
          .percentile(99)
          .count());
}

using Rows = std::vector<ScenarioRow>;

Rows imbalance(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (ChoicePolicy Policy : Policies) {
    All.push_back(measureSeeds(
        "imbalance", policyName(Policy), "highest/mean utilisation", First,
        Seeds, false, [Policy](std::uint64_t Seed) {
          SharedRunOptions Options;
          for (double Speed : {1.0, 1.0, 1.0, 2.0, 2.0, 4.0})
            Options.Upstreams_.push_back(upstreamOfSpeed(Speed));
          Options.Rate_ = 11 * 18 * 100 * 0.6;
          Options.Policy_ = Policy;
          Options.Seed_ = Seed;
          return runShared(Options).Imbalance_;
        }));
  }
  All[0].Bound_ = 1.10;
  return All;
}

Rows stragglers(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (ChoicePolicy Policy : Policies) {
    All.push_back(measureSeeds(
        "stragglers", policyName(Policy), "p99 with/without", First, Seeds,
        false, [Policy](std::uint64_t Seed) {
          SharedRunOptions Options = shopredeem(0.5);
          Options.Policy_ = Policy;
          Options.Seed_ = Seed;
          const double Without = highPriorityP99(runShared(Options));
          Options.Stragglers_ = true;
          return highPriorityP99(runShared(Options)) / Without;
        }));
  }
  All[0].Bound_ = 1.5;
  return All;
}

SharedRunOptions coldOptions(ChoicePolicy Policy, bool Admission,
                             std::uint64_t Seed) {
  SharedRunOptions Options = shopredeem(0.6);
  Options.ColdAt_ = std::chrono::milliseconds(3000);
  Options.Span_ = std::chrono::milliseconds(20000);
  Options.Policy_ = Policy;
  Options.Admission_ = Admission;
  Options.Seed_ = Seed;
  return Options;
}

Rows cold(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (const bool Ours : {true, false}) {
    const ChoicePolicy Policy =
        Ours ? ChoicePolicy::Ours : ChoicePolicy::TwoChoices;
    const std::string Name = Ours ? "ours" : "two choices, no admission";
    // All slots are full when it turns cold; five answers may be needed then.
    All.push_back(measureSeeds(
        "cold", Name, "shed by the cold upstream", First, Seeds, false,
        [Policy, Ours](std::uint64_t Seed) {
          return static_cast<double>(
              runShared(coldOptions(Policy, Ours, Seed)).ShedByCold_);
        }));
    All.back().Bound_ = Ours ? 18 + 5 : 0;
    All.push_back(measureSeeds(
        "cold", Name, "share when warm again", First, Seeds, true,
        [Policy, Ours](std::uint64_t Seed) {
          return runShared(coldOptions(Policy, Ours, Seed)).ShareAtEnd_;
        }));
    All.back().Bound_ = Ours ? 0.8 : 0;
  }
  return All;
}

SharedRunOptions rainOptions(bool Ours, std::uint64_t Seed) {
  SharedRunOptions Options = shopredeem(0.8);
  Options.RainFrom_ = std::chrono::milliseconds(2000);
  Options.RainRate_ = 4 * 18 * 100 * 1.6;
  Options.Deadlines_ = {std::chrono::milliseconds(1000),
                        std::chrono::milliseconds(1000),
                        std::chrono::milliseconds(500)};
  Options.Policy_ = Ours ? ChoicePolicy::Ours : ChoicePolicy::TwoChoices;
  Options.Admission_ = Ours;
  Options.Seed_ = Seed;
  return Options;
}

Rows rain(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (const bool Ours : {true, false}) {
    const std::string Name = Ours ? "ours" : "two choices, no admission";
    All.push_back(measureSeeds("rain", Name, "goodput/capacity", First, Seeds,
                               true, [Ours](std::uint64_t Seed) {
                                 const SharedRunResult Result =
                                     runShared(rainOptions(Ours, Seed));
                                 return Result.Goodput_ / Result.Capacity_;
                               }));
    All.back().Bound_ = Ours ? 0.95 : 0;
    All.push_back(measureSeeds(
        "rain", Name, "highest priority p99 ms", First, Seeds, false,
        [Ours](std::uint64_t Seed) {
          return highPriorityP99(runShared(rainOptions(Ours, Seed))) / 1000;
        }));
    All.back().Bound_ = Ours ? 500 : 0;
  }
  return All;
}

SharedRunOptions stormOptions(bool Ours, std::uint64_t Seed) {
  SharedRunOptions Options = shopredeem(0.6);
  Options.ErrorPercent_ = 30;
  Options.ErrorsFrom_ = std::chrono::milliseconds(2000);
  Options.ErrorsUntil_ = std::chrono::milliseconds(8000);
  Options.Span_ = std::chrono::milliseconds(12000);
  Options.Budget_ = Ours;
  Options.Seed_ = Seed;
  return Options;
}

Rows retryStorm(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  for (const bool Ours : {true, false}) {
    const std::string Name = Ours ? "ours" : "three retries";
    All.push_back(measureSeeds(
        "retry storm", Name, "extra load %", First, Seeds, false,
        [Ours](std::uint64_t Seed) {
          const SharedRunResult Result = runShared(stormOptions(Ours, Seed));
          double Sent = 0;
          for (std::uint64_t One : Result.Sent_)
            Sent += static_cast<double>(One);
          return 100 * (static_cast<double>(Result.Attempts_) / Sent - 1);
        }));
    All.back().Bound_ = Ours ? 10 : 0;
    All.push_back(measureSeeds(
        "retry storm", Name, "errors 2 s after the fault", First, Seeds, false,
        [Ours](std::uint64_t Seed) {
          return static_cast<double>(
              runShared(stormOptions(Ours, Seed)).ErrorsAfterFault_);
        }));
    All.back().Bound_ = Ours ? 0.5 : 0;
  }
  return All;
}

constexpr std::uint32_t ChurnShards = 1200;

/// Which member owns each shard.
using Placement = std::vector<MemberId>;

std::uint64_t mix(std::uint64_t A, std::uint64_t B) {
  std::uint64_t Mixed = A * 0x9E3779B97F4A7C15ULL + B;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94D049BB133111EBULL;
  return Mixed ^ (Mixed >> 31);
}

Placement placeModulo(const std::vector<MemberId> &Members) {
  Placement Placed(ChurnShards);
  for (std::uint32_t Id = 0; Id < ChurnShards; ++Id)
    Placed[Id] = Members[Id % Members.size()];
  return Placed;
}

Placement placeRendezvous(const std::vector<MemberId> &Members) {
  Placement Placed(ChurnShards);
  for (std::uint32_t Id = 0; Id < ChurnShards; ++Id)
    Placed[Id] = *std::max_element(
        Members.begin(), Members.end(),
        [Id](MemberId A, MemberId B) { return mix(Id, A) < mix(Id, B); });
  return Placed;
}

/// Keeps the table between two member lists, as a site does, with requests
/// spread evenly over the keys.
class OurPlacer {
public:
  OurPlacer() {
    for (KeyId Key = 0; Key <= LastKey; Key += KeyStep)
      EvenRates_[Key] = 1;
  }

  Placement place(const std::vector<MemberId> &Members) {
    giveAway(Members);
    // Each busy host moves what it has too much of, one after the other.
    for (bool Moved = true; Moved;) {
      Moved = false;
      for (MemberId Id : Members)
        Moved = moveFrom(Id, Members) || Moved;
    }
    Placement Placed;
    for (std::uint32_t Shard = 0; Shard < ChurnShards; ++Shard) {
      const KeyId Key = Shard * ((LastKey + 1) / ChurnShards);
      Placed.push_back(std::stoull(findRow(Table_, Key)->Owner_.Host_));
    }
    return Placed;
  }

private:
  static constexpr KeyId KeyStep = 16;

  KeyOwnershipInputs around(const std::vector<MemberId> &Members) const {
    KeyOwnershipInputs Around;
    Around.KeyRates_ = &EvenRates_;
    for (MemberId Id : Members) {
      KeyPeer Peer;
      Peer.Host_ = std::to_string(Id);
      Peer.AcceptsKeys_ = true;
      Peer.Capacity_ = static_cast<double>(EvenRates_.size());
      for (const KeyRow &Row : rowsOf(Table_, Peer.Host_))
        Peer.Rate_ += static_cast<double>(sizeOf(Row.Range_)) / KeyStep;
      Around.Peers_.push_back(std::move(Peer));
    }
    return Around;
  }

  void assign(const KeyPlacement &Placement) {
    KeyRow Row;
    Row.Range_ = Placement.Range_;
    Row.Owner_.Host_ = Placement.Host_;
    assignKeys(Table_, Row);
    mergeRows(Table_);
  }

  /// Keys without an owner, and those of members that are gone.
  void giveAway(const std::vector<MemberId> &Members) {
    std::vector<KeyRange> Free;
    if (Table_.Rows_.empty())
      Free.push_back({0, LastKey});
    for (const KeyRow &Row : Table_.Rows_) {
      const MemberId Owner = std::stoull(Row.Owner_.Host_);
      if (std::find(Members.begin(), Members.end(), Owner) == Members.end())
        Free.push_back(Row.Range_);
    }
    for (const KeyPlacement &Placement : placeKeys(Free, around(Members), ""))
      assign(Placement);
  }

  bool moveFrom(MemberId Id, const std::vector<MemberId> &Members) {
    const std::string Host = std::to_string(Id);
    KeyOwnershipOptions Options;
    Options.RebalanceMinGap_ = 0.02;
    Options.RebalanceMinLoad_ = 0;
    const std::optional<KeyPlacement> Found =
        findMove(rowsOf(Table_, Host), Host, around(Members), Options);
    if (!Found)
      return false;
    assign(*Found);
    return true;
  }

  KeyTable Table_;
  std::map<KeyId, double> EvenRates_;
};

std::size_t movedBetween(const Placement &Before, const Placement &After) {
  std::size_t Moved = 0;
  for (std::size_t Id = 0; Id < Before.size(); ++Id)
    Moved += Before[Id] != After[Id] ? 1 : 0;
  return Moved;
}

using Placer = std::function<Placement(const std::vector<MemberId> &)>;

/// Shards moved over the least possible: six members, one joins, one leaves,
/// one is replaced.
double churnRatio(const Placer &Place, std::uint64_t Seed) {
  std::vector<MemberId> Members;
  for (MemberId Id = 1; Id <= 6; ++Id)
    Members.push_back(mix(Seed, Id) % 100000 + 1);
  std::sort(Members.begin(), Members.end());
  const Placement First = Place(Members);
  Members.push_back(100000 + Seed);
  const Placement Joined = Place(Members);
  const MemberId Leaving = Members[Seed % 6];
  std::erase(Members, Leaving);
  const Placement Left = Place(Members);
  Members[Seed % 5] = 200000 + Seed;
  const Placement Replaced = Place(Members);
  const double Moved = static_cast<double>(movedBetween(First, Joined) +
                                           movedBetween(Joined, Left) +
                                           movedBetween(Left, Replaced));
  const double Least =
      ChurnShards / 7.0 + ChurnShards / 7.0 + ChurnShards / 6.0;
  return Moved / Least;
}

Rows churn(std::uint64_t First, std::uint32_t Seeds) {
  Rows All;
  All.push_back(measureSeeds("churn", "ours", "moved/least", First, Seeds,
                             false, [](std::uint64_t Seed) {
                               OurPlacer Placer;
                               return churnRatio(
                                   [&Placer](const std::vector<MemberId> &M) {
                                     return Placer.place(M);
                                   },
                                   Seed);
                             }));
  All.back().Bound_ = 1.1;
  All.push_back(measureSeeds(
      "churn", "modulo", "moved/least", First, Seeds, false,
      [](std::uint64_t Seed) { return churnRatio(placeModulo, Seed); }));
  All.push_back(measureSeeds(
      "churn", "rendezvous", "moved/least", First, Seeds, false,
      [](std::uint64_t Seed) { return churnRatio(placeRendezvous, Seed); }));
  return All;
}

using Scenario = Rows (*)(std::uint64_t, std::uint32_t);

const std::vector<std::pair<std::string, Scenario>> &scenarios() {
  static const std::vector<std::pair<std::string, Scenario>> All = {
      {"imbalance", imbalance}, {"churn", churn}, {"stragglers", stragglers},
      {"cold", cold},           {"rain", rain},   {"retry_storm", retryStorm}};
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
  return Row.AtLeast_ ? Row.Worst_ >= Row.Bound_ : Row.Worst_ <= Row.Bound_;
}

} // namespace lagoonhitch

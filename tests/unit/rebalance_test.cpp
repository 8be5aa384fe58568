/// \file
/// Replays shifts of load on the decisions that move keys, with measured rates,
/// delayed load digests and the time that a move takes.

#define BOOST_TEST_MODULE rebalance
#include "ownership/key_balance.h"
#include "ownership/key_rates.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds Tick{50};
/// Between two digests of one host, with 33 recipients and 50 digests a second.
constexpr std::chrono::milliseconds DigestInterval{680};
/// As in the daemon: time after a gain of keys until a host's load counts.
constexpr std::chrono::milliseconds SettleTime{1500};
/// From the decision to move keys to the table with their new owner.
constexpr std::chrono::milliseconds MoveTime{150};
constexpr std::uint32_t Slots = 12;
constexpr std::size_t HostCount = 34;

struct StartedMove {
  KeyPlacement Placement_;
  Instant DoneAt_;
};

struct SimulatedHost {
  std::string Name_;
  double Capacity_ = 1;
  KeyRates Rates_;
  /// The host's load as its last digest has it.
  double DigestRate_ = 0;
  bool DigestGained_ = false;
  Instant DigestAt_ = Instant::min();
  Instant GainedAt_ = Instant::min();
  Instant LastRoundAt_ = Instant();
  std::vector<StartedMove> Moves_;
};

/// Returns the mean time that requests spend at a host, in seconds: a queue
/// with Slots servers, Poisson arrivals and exponential processing times.
double timeAtHost(double Rate, double Capacity) {
  const double Processing = Slots / Capacity;
  const double Offered = Rate * Processing;
  if (Offered >= Slots)
    return 10;
  double Blocking = 1;
  for (std::uint32_t Server = 1; Server <= Slots; ++Server)
    Blocking = Offered * Blocking / (Server + Offered * Blocking);
  const double Load = Offered / Slots;
  const double MustWait = Blocking / (1 - Load * (1 - Blocking));
  return Processing + MustWait * Processing / (Slots - Offered);
}

/// A sharded service whose load shifts. All daemons decide by findMoves().
class Service {
public:
  explicit Service(std::uint64_t Seed) : Random_(Seed) {
    for (std::size_t Index = 0; Index < HostCount; ++Index) {
      SimulatedHost Host;
      Host.Name_ = "h" + std::to_string(100 + Index);
      // Processing times of 80 to 320 ms.
      std::uniform_real_distribution<double> Exponent(0, 1);
      const double Capacity = Slots / (0.08 * std::pow(4, Exponent(Random_)));
      Host.Capacity_ = Index == 0   ? Slots / 0.08
                       : Index == 1 ? Slots / 0.32
                                    : Capacity;
      TotalCapacity_ += Host.Capacity_;
      // Digests of different hosts are spread over the interval.
      std::uniform_int_distribution<int> Phase(0, 13);
      Host.DigestAt_ = Now_ - Tick * Phase(Random_);
      Hosts_.push_back(std::move(Host));
    }
    for (std::size_t Index = 0; Index < HostCount; ++Index) {
      KeyRow Row;
      Row.Range_ = {
          static_cast<KeyId>((LastKey + 1) * Index / HostCount),
          static_cast<KeyId>((LastKey + 1) * (Index + 1) / HostCount - 1)};
      Row.Owner_.Host_ = Hosts_[Index].Name_;
      Row.Fence_ = 1;
      assignKeys(Table_, Row);
    }
    for (KeyId Key = 16; Key <= LastKey; Key += 32)
      Spread_[Key] = 1;
    scaleTo(Spread_, 0.5 * TotalCapacity_);
    Load_ = Spread_;
  }

  /// Moves a fraction of the load to some neighbouring keys.
  void shift(double Fraction, std::size_t Keys) {
    std::uniform_int_distribution<KeyId> First(0, LastKey - 2000);
    std::map<KeyId, double> Shifted;
    KeyId Key = First(Random_);
    for (std::size_t Index = 0; Index < Keys; ++Index, Key += 9)
      Shifted[Key] = 1;
    scaleTo(Shifted, Fraction * 0.5 * TotalCapacity_);
    Load_ = Spread_;
    scaleTo(Load_, (1 - Fraction) * 0.5 * TotalCapacity_);
    for (const auto &[Hot, Rate] : Shifted)
      Load_[Hot] += Rate;
  }

  void run(Duration For) {
    for (const Instant End = Now_ + For; Now_ < End; Now_ += Tick)
      step();
  }

  /// Returns the load of the busiest host relative to the mean of all hosts.
  double busiestToMean() const {
    double Sum = 0;
    double Highest = 0;
    for (const SimulatedHost &Host : Hosts_) {
      const double Load = trueRate(Host.Name_) / Host.Capacity_;
      Sum += Load;
      Highest = std::max(Highest, Load);
    }
    return Highest / (Sum / HostCount);
  }

  /// Returns the mean time from the arrival of a request at its owner to its
  /// completion, in milliseconds.
  double completionMillis() const {
    double Sum = 0;
    double Total = 0;
    for (const SimulatedHost &Host : Hosts_) {
      const double Rate = trueRate(Host.Name_);
      Sum += Rate * timeAtHost(Rate, Host.Capacity_);
      Total += Rate;
    }
    return 1000 * Sum / Total;
  }

  std::size_t moveCount() const { return MoveCount_; }

private:
  static void scaleTo(std::map<KeyId, double> &Load, double Total) {
    double Sum = 0;
    for (const auto &[Key, Rate] : Load)
      Sum += Rate;
    for (auto &[Key, Rate] : Load)
      Rate *= Total / Sum;
  }

  double trueRate(const std::string &Host) const {
    double Rate = 0;
    for (const KeyRow &Row : Table_.Rows_)
      if (Row.Owner_.Host_ == Host)
        for (auto At = Load_.lower_bound(Row.Range_.First_);
             At != Load_.end() && At->first <= Row.Range_.Last_; ++At)
          Rate += At->second;
    return Rate;
  }

  SimulatedHost &hostOf(const std::string &Name) {
    return *std::find_if(
        Hosts_.begin(), Hosts_.end(),
        [&Name](const SimulatedHost &Host) { return Host.Name_ == Name; });
  }

  bool hasGained(const SimulatedHost &Host) const {
    return Host.GainedAt_ != Instant::min() &&
           Now_ - Host.GainedAt_ < SettleTime;
  }

  void step() {
    const double TickSeconds = std::chrono::duration<double>(Tick).count();
    for (const auto &[Key, Rate] : Load_) {
      std::poisson_distribution<int> Arrivals(Rate * TickSeconds);
      int Left = Arrivals(Random_);
      if (Left == 0)
        continue;
      SimulatedHost &Owner = hostOf(findRow(Table_, Key)->Owner_.Host_);
      for (; Left > 0; --Left)
        countRequest(Owner.Rates_, Key, Now_);
    }
    for (SimulatedHost &Host : Hosts_) {
      decayRates(Host.Rates_, Now_);
      if (Now_ - Host.DigestAt_ >= DigestInterval) {
        Host.DigestAt_ = Now_;
        Host.DigestRate_ = Host.Rates_.Total_;
        Host.DigestGained_ = hasGained(Host);
      }
    }
    for (SimulatedHost &Host : Hosts_)
      decide(Host);
  }

  void decide(SimulatedHost &Host) {
    if (!Host.Moves_.empty()) {
      if (Now_ >= Host.Moves_.front().DoneAt_)
        finishMoves(Host);
      return;
    }
    if (Host.Rates_.Total_ <= 0)
      return;
    const KeyOwnershipInputs Inputs = inputsOf(Host);
    if (Now_ - Host.LastRoundAt_ <
        rebalanceInterval(Host.Name_, Inputs, Options_))
      return;
    const std::vector<KeyPlacement> Found =
        findMoves(rowsOf(Table_, Host.Name_), Host.Name_, Inputs, Options_);
    if (Found.empty())
      return;
    Host.LastRoundAt_ = Now_;
    for (const KeyPlacement &Placement : Found)
      Host.Moves_.push_back({Placement, Now_ + MoveTime});
    MoveCount_ += Found.size();
  }

  void finishMoves(SimulatedHost &Host) {
    for (const StartedMove &Move : Host.Moves_) {
      KeyRow Row = *findRow(Table_, Move.Placement_.Range_.First_);
      BOOST_REQUIRE(Row.Owner_.Host_ == Host.Name_);
      BOOST_REQUIRE(contains(Row.Range_, Move.Placement_.Range_.Last_));
      Row.Range_ = Move.Placement_.Range_;
      Row.Owner_.Host_ = Move.Placement_.Host_;
      assignKeys(Table_, Row);
      SimulatedHost &Receiver = hostOf(Row.Owner_.Host_);
      Receiver.GainedAt_ = Now_;
      onKeysGained(Receiver.Rates_, Row.Range_, Now_);
    }
    mergeRows(Table_);
    Host.Moves_.clear();
    keepKeys(Host.Rates_, [this, &Host](KeyId Key) {
      return findRow(Table_, Key)->Owner_.Host_ == Host.Name_;
    });
  }

  KeyOwnershipInputs inputsOf(const SimulatedHost &Self) const {
    KeyOwnershipInputs Inputs;
    Inputs.KeyRates_ = &Self.Rates_.Rates_;
    if (Self.GainedAt_ != Instant::min())
      Inputs.SinceLastGain_ = Now_ - Self.GainedAt_;
    for (const SimulatedHost &Host : Hosts_) {
      KeyPeer Peer;
      Peer.Host_ = Host.Name_;
      Peer.AcceptsKeys_ = true;
      Peer.Capacity_ = Host.Capacity_;
      const bool IsSelf = Host.Name_ == Self.Name_;
      Peer.Rate_ = IsSelf ? Self.Rates_.Total_ : Host.DigestRate_;
      // A table that is newer than the digest counts as a recent gain.
      Peer.RecentlyGainedKeys_ =
          IsSelf ? hasGained(Host)
                 : Host.DigestGained_ || (Host.GainedAt_ != Instant::min() &&
                                          Host.GainedAt_ >= Host.DigestAt_);
      Inputs.Peers_.push_back(std::move(Peer));
    }
    return Inputs;
  }

  std::mt19937_64 Random_;
  Instant Now_ = Instant() + std::chrono::hours(1);
  KeyOwnershipOptions Options_;
  KeyTable Table_;
  std::vector<SimulatedHost> Hosts_;
  double TotalCapacity_ = 0;
  std::map<KeyId, double> Spread_;
  std::map<KeyId, double> Load_;
  std::size_t MoveCount_ = 0;
};

/// The ratio of the busiest host to the mean at times after a shift.
struct ShiftRatios {
  double AfterTwoSeconds_ = 0;
  double AfterFiveSeconds_ = 0;
};

/// Replays one shift and prints the ratio over time.
ShiftRatios replayShift(std::uint64_t Seed, double Fraction, std::size_t Keys) {
  Service Site(Seed);
  Site.run(std::chrono::seconds(20));
  const std::size_t MovesBefore = Site.moveCount();
  const double Before = Site.busiestToMean();
  Site.shift(Fraction, Keys);
  std::printf("seed %2llu: before %.2f, then each 0.5 s:",
              static_cast<unsigned long long>(Seed), Before);
  ShiftRatios Ratios;
  for (int Half = 0; Half <= 12; ++Half) {
    const double Ratio = Site.busiestToMean();
    std::printf(" %.2f", Ratio);
    if (Half == 4)
      Ratios.AfterTwoSeconds_ = Ratio;
    if (Half == 10)
      Ratios.AfterFiveSeconds_ = Ratio;
    Site.run(std::chrono::milliseconds(500));
  }
  std::printf("; %zu moves, before %zu; %.0f ms\n",
              Site.moveCount() - MovesBefore, MovesBefore,
              Site.completionMillis());
  return Ratios;
}

/// Half of the load shifts to 120 neighbouring keys of a site whose hosts
/// differ in capacity by a factor of 4. Returns the worst ratios of twelve
/// seeds.
ShiftRatios worstAfterShift() {
  ShiftRatios Worst;
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    const ShiftRatios Ratios = replayShift(Seed, 0.5, 120);
    Worst.AfterTwoSeconds_ =
        std::max(Worst.AfterTwoSeconds_, Ratios.AfterTwoSeconds_);
    Worst.AfterFiveSeconds_ =
        std::max(Worst.AfterFiveSeconds_, Ratios.AfterFiveSeconds_);
  }
  std::printf("worst after 2 s %.2f, after 5 s %.2f\n", Worst.AfterTwoSeconds_,
              Worst.AfterFiveSeconds_);
  return Worst;
}

} // namespace

/// Guards against a host that stays overloaded for many seconds because the
/// rates of its keys are known late, or because its first round of moves is too
/// small and the next one waits.
BOOST_AUTO_TEST_CASE(FollowsAStepInTheLoad) {
  const ShiftRatios Worst = worstAfterShift();
  BOOST_TEST(Worst.AfterTwoSeconds_ < 3.0);
  BOOST_TEST(Worst.AfterFiveSeconds_ < 1.7);
}

/// The requirement. It fails: see KNOWN-RED.txt.
BOOST_AUTO_TEST_CASE(IsEvenTwoSecondsAfterAStep) {
  BOOST_TEST(worstAfterShift().AfterTwoSeconds_ < 1.25);
}

} // namespace lagoonhitch

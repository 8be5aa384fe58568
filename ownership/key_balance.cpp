#include "ownership/key_balance.h"

#include "ownership/hot_key_placement.h"
#include "ownership/load_spreading.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

/// Minimum number of keys per part when a range is split between hosts.
constexpr std::uint32_t MinSplitKeys = 1024;

/// A host may run one concurrent move per this many hosts, up to
/// MaxConcurrentMoves.
constexpr std::size_t PeersPerMove = 8;
constexpr std::size_t MaxConcurrentMoves = 24;
/// Hosts of a large site that are needed for a load of one capacity.
constexpr double TargetsPerUnitOfLoad = 3;

/// Number of hosts from which a busy host spreads its load over several hosts
/// with a low load, instead of sharing it with the least loaded one.
constexpr std::size_t MinPeersForSpreading = 24;
/// The load to which such hosts are filled, relative to the mean load of all
/// hosts, and its minimum.
constexpr double FillAboveMean = 1.25;
constexpr double MinLoadToFill = 0.5;
/// Minimum difference between that load and the load of a host that is filled.
constexpr double MinSpreadGap = 0.15;

/// Requests per second assumed for the whole key space if no rates are known.
constexpr double AssumedTotalRate = 100;

/// A host that may receive keys, with the load that it is expected to have.
struct Candidate {
  std::string Host_;
  double Rate_ = 0;
  double Capacity_ = 1;
};

double loadOf(const Candidate &Host) { return Host.Rate_ / Host.Capacity_; }

double rateOf(const KeyRange &Range, const KeyOwnershipInputs &Inputs) {
  const std::map<KeyId, double> *Rates = Inputs.KeyRates_;
  double Sum = AssumedTotalRate * sizeOf(Range) / (LastKey + 1.0);
  if (Rates == nullptr || Rates->empty())
    return Sum;
  Sum = 0;
  for (auto At = Rates->lower_bound(Range.First_);
       At != Rates->end() && At->first <= Range.Last_; ++At)
    Sum += At->second;
  return Sum * Inputs.KeyRateFactor_;
}

std::vector<Candidate> candidatesOf(const KeyOwnershipInputs &Inputs,
                                    const std::string &Except) {
  std::vector<Candidate> Candidates;
  for (const KeyPeer &Peer : Inputs.Peers_)
    if (Peer.AcceptsKeys_ && Peer.Host_ != Except)
      Candidates.push_back(
          {Peer.Host_, Peer.Rate_, std::max(Peer.Capacity_, 1.0)});
  return Candidates;
}

std::vector<KeyRange> splitEvenly(const KeyRange &Range, std::size_t Count) {
  std::vector<KeyRange> Parts;
  const std::uint32_t Size = sizeOf(Range);
  std::uint32_t Begin = 0;
  for (std::size_t Index = 1; Index <= Count; ++Index) {
    const std::uint32_t End =
        static_cast<std::uint32_t>(std::uint64_t{Size} * Index / Count);
    if (End == Begin)
      continue;
    Parts.push_back({Range.First_ + Begin, Range.First_ + End - 1});
    Begin = End;
  }
  return Parts;
}

bool isLargeSite(const KeyOwnershipInputs &Inputs) {
  return Inputs.Peers_.size() >= MinPeersForSpreading;
}

bool canReceive(const KeyPeer &Peer, const std::string &From) {
  return Peer.AcceptsKeys_ && !Peer.RecentlyGainedKeys_ && Peer.Host_ != From;
}

double loadOf(const KeyPeer &Peer) { return Peer.Rate_ / Peer.Capacity_; }

const KeyPeer *leastLoaded(const KeyOwnershipInputs &Inputs,
                           const std::string &From) {
  const KeyPeer *Best = nullptr;
  for (const KeyPeer &Peer : Inputs.Peers_)
    if (canReceive(Peer, From) &&
        (Best == nullptr || loadOf(Peer) < loadOf(*Best)))
      Best = &Peer;
  return Best;
}

/// Returns the load up to which hosts are filled with the keys of busier ones.
double loadToFill(const KeyOwnershipInputs &Inputs) {
  double Rate = 0;
  double Capacity = 0;
  for (const KeyPeer &Peer : Inputs.Peers_) {
    if (!Peer.AcceptsKeys_)
      continue;
    Rate += Peer.Rate_;
    Capacity += Peer.Capacity_;
  }
  const double Mean = Capacity > 0 ? Rate / Capacity : 0;
  return std::max(Mean * FillAboveMean, MinLoadToFill);
}

/// Returns a host with a low load, which differs from one busy host to another:
/// on a large site many hosts are busy at the same time, and would otherwise
/// all choose the least loaded one.
const KeyPeer *chooseSpreadTarget(const KeyOwnershipInputs &Inputs,
                                  const std::string &From, double FillTo) {
  const XXH64_hash_t Seed = XXH3_64bits(From.data(), From.size());
  const KeyPeer *Best = nullptr;
  XXH64_hash_t BestRank = 0;
  for (const KeyPeer &Peer : Inputs.Peers_) {
    if (!canReceive(Peer, From) || loadOf(Peer) > FillTo - MinSpreadGap)
      continue;
    const XXH64_hash_t Rank =
        XXH3_64bits_withSeed(Peer.Host_.data(), Peer.Host_.size(), Seed);
    if (Best == nullptr || Rank < BestRank) {
      Best = &Peer;
      BestRank = Rank;
    }
  }
  return Best;
}

/// A host that receives keys and the requests per second that it should get.
struct MoveTarget {
  const KeyPeer *Peer_ = nullptr;
  double Rate_ = 0;
};

MoveTarget chooseTarget(const KeyPeer &Self, const KeyOwnershipInputs &Inputs,
                        const KeyOwnershipOptions &Options) {
  if (isLargeSite(Inputs)) {
    const double FillTo = loadToFill(Inputs);
    if (const KeyPeer *Peer = chooseSpreadTarget(Inputs, Self.Host_, FillTo)) {
      const double Excess = (loadOf(Self) - FillTo) * Self.Capacity_;
      return {Peer,
              std::min((FillTo - loadOf(*Peer)) * Peer->Capacity_, Excess)};
    }
  }
  const KeyPeer *Peer = leastLoaded(Inputs, Self.Host_);
  if (Peer == nullptr)
    return {};
  const double Gap = loadOf(Self) - loadOf(*Peer);
  if (Gap < Options.RebalanceMinGap_)
    return {};
  return {Peer, Options.RebalanceFraction_ * Gap * Self.Capacity_ *
                    Peer->Capacity_ / (Self.Capacity_ + Peer->Capacity_)};
}

/// A part at the edge of a row and its requests per second.
struct Edge {
  KeyRange Range_;
  double Rate_ = 0;
};

/// Extends a part from one edge of a row until it has about the target rate.
/// \returns a part with rate 0 if the first key alone exceeds the target.
Edge growEdge(const KeyRange &Row, const KeyOwnershipInputs &Inputs,
              double TargetRate, bool FromStart) {
  const std::map<KeyId, double> &Rates = *Inputs.KeyRates_;
  std::vector<std::pair<KeyId, double>> Keys(Rates.lower_bound(Row.First_),
                                             Rates.upper_bound(Row.Last_));
  if (!FromStart)
    std::reverse(Keys.begin(), Keys.end());
  Edge Result;
  const KeyId FarEnd = FromStart ? Row.Last_ : Row.First_;
  KeyId End = FarEnd;
  for (const auto &[Key, CountedRate] : Keys) {
    const double Rate = CountedRate * Inputs.KeyRateFactor_;
    const bool ExceedsTarget = Result.Rate_ + Rate > TargetRate * 1.25;
    if (ExceedsTarget) {
      // The part ends before this key.
      if (Key == (FromStart ? Row.First_ : Row.Last_))
        return {};
      End = FromStart ? Key - 1 : Key + 1;
      break;
    }
    Result.Rate_ += Rate;
    if (Result.Rate_ >= TargetRate * 0.85) {
      End = Key;
      break;
    }
  }
  Result.Range_ =
      FromStart ? KeyRange{Row.First_, End} : KeyRange{End, Row.Last_};
  return Result;
}

/// Returns how many moves may run at the same time. A host whose load is
/// several times its capacity needs several targets, and on a large site more
/// of them, since each is filled only as far as its own load allows.
std::size_t concurrentMoveLimit(const std::string &Host,
                                const KeyOwnershipInputs &Inputs) {
  const KeyPeer *Self = findPeer(Inputs, Host);
  const double Load = Self == nullptr ? 0 : std::max(loadOf(*Self), 0.0);
  const double TargetsPerLoad = isLargeSite(Inputs) ? TargetsPerUnitOfLoad : 1;
  const std::size_t Wanted =
      std::max(Inputs.Peers_.size() / PeersPerMove,
               static_cast<std::size_t>(Load * TargetsPerLoad));
  return std::clamp<std::size_t>(Wanted, 1, MaxConcurrentMoves);
}

/// Adds the expected effect of a move to the predicted loads of both hosts.
void applyToLoads(KeyOwnershipInputs &Predicted, const std::string &From,
                  const KeyPlacement &Move) {
  const double Rate = rateOf(Move.Range_, Predicted);
  for (KeyPeer &Peer : Predicted.Peers_) {
    if (Peer.Host_ == From)
      Peer.Rate_ -= Rate;
    if (Peer.Host_ == Move.Host_) {
      Peer.Rate_ += Rate;
      Peer.RecentlyGainedKeys_ = true;
    }
  }
}

/// Returns whether a host is busy and knows its load.
bool mayGiveKeys(const std::string &Host, const KeyOwnershipInputs &Inputs,
                 const KeyOwnershipOptions &Options) {
  const KeyPeer *Self = findPeer(Inputs, Host);
  if (Self == nullptr || Inputs.KeyRates_ == nullptr)
    return false;
  // The measured rates of keys that were gained a moment ago are too low, but a
  // host that is overloaded by these rates really is.
  const bool KnowsLoad =
      !Self->RecentlyGainedKeys_ || Self->Rate_ > Self->Capacity_;
  return KnowsLoad &&
         Self->Rate_ >= Options.RebalanceMinLoad_ * Self->Capacity_;
}

} // namespace

std::vector<KeyPlacement> placeKeys(const std::vector<KeyRange> &Ranges,
                                    const KeyOwnershipInputs &Inputs,
                                    const std::string &Except) {
  std::vector<Candidate> Candidates = candidatesOf(Inputs, Except);
  std::vector<KeyPlacement> Placements;
  if (Candidates.empty())
    return Placements;
  for (const KeyRange &Range : Ranges) {
    const std::size_t Pieces = std::clamp<std::size_t>(
        sizeOf(Range) / MinSplitKeys, 1, Candidates.size());
    for (const KeyRange &Piece : splitEvenly(Range, Pieces)) {
      Candidate &Best =
          *std::min_element(Candidates.begin(), Candidates.end(),
                            [](const Candidate &Left, const Candidate &Right) {
                              return loadOf(Left) < loadOf(Right);
                            });
      Best.Rate_ += rateOf(Piece, Inputs);
      const bool Extends = !Placements.empty() &&
                           Placements.back().Host_ == Best.Host_ &&
                           Placements.back().Range_.Last_ + 1 == Piece.First_;
      if (Extends)
        Placements.back().Range_.Last_ = Piece.Last_;
      else
        Placements.push_back({Piece, Best.Host_});
    }
  }
  return Placements;
}

Duration rebalanceInterval(const std::string &Host,
                           const KeyOwnershipInputs &Inputs,
                           const KeyOwnershipOptions &Options) {
  const KeyPeer *Self = findPeer(Inputs, Host);
  const bool Overloaded = Self != nullptr && Self->Rate_ > Self->Capacity_;
  return Overloaded ? Options.OverloadedRebalanceInterval_
                    : Options.RebalanceInterval_;
}

std::optional<KeyPlacement> findMove(const std::vector<KeyRow> &OwnRows,
                                     const std::string &Host,
                                     const KeyOwnershipInputs &Inputs,
                                     const KeyOwnershipOptions &Options) {
  if (!mayGiveKeys(Host, Inputs, Options))
    return std::nullopt;
  const KeyPeer *Self = findPeer(Inputs, Host);
  const MoveTarget Target = chooseTarget(*Self, Inputs, Options);
  if (Target.Peer_ == nullptr || Target.Rate_ <= 0)
    return std::nullopt;
  Edge Best;
  for (const KeyRow &Row : OwnRows)
    for (const bool FromStart : {true, false}) {
      const Edge Found = growEdge(Row.Range_, Inputs, Target.Rate_, FromStart);
      const bool IsCloser = std::abs(Found.Rate_ - Target.Rate_) <
                            std::abs(Best.Rate_ - Target.Rate_);
      if (Found.Rate_ > 0 && IsCloser)
        Best = Found;
    }
  if (Best.Rate_ < Target.Rate_ * 0.2)
    return std::nullopt;
  return KeyPlacement{Best.Range_, Target.Peer_->Host_};
}

std::vector<KeyPlacement> findMoves(const std::vector<KeyRow> &OwnRows,
                                    const std::string &Host,
                                    const KeyOwnershipInputs &Inputs,
                                    const KeyOwnershipOptions &Options) {
  if (const std::optional<BusyKey> Hot = findHotKey(OwnRows, Host, Inputs))
    return findHotKeyMoves(OwnRows, Host, Inputs, *Hot);
  const std::size_t MaxMoves = concurrentMoveLimit(Host, Inputs);
  if (isLargeSite(Inputs) && mayGiveKeys(Host, Inputs, Options))
    if (std::vector<KeyPlacement> Moves =
            spreadExcess(OwnRows, Host, Inputs, MaxConcurrentMoves);
        !Moves.empty())
      return Moves;
  KeyOwnershipInputs Predicted = Inputs;
  KeyTable Remaining;
  Remaining.Rows_ = OwnRows;
  std::vector<KeyPlacement> Moves;
  while (Moves.size() < MaxMoves) {
    const std::optional<KeyPlacement> Next =
        findMove(rowsOf(Remaining, Host), Host, Predicted, Options);
    if (!Next)
      break;
    applyToLoads(Predicted, Host, *Next);
    KeyRow MovedRow = *findRow(Remaining, Next->Range_.First_);
    MovedRow.Range_ = Next->Range_;
    MovedRow.Owner_.Host_ = Next->Host_;
    assignKeys(Remaining, MovedRow);
    Moves.push_back(*Next);
  }
  return Moves;
}

} // namespace lagoonhitch

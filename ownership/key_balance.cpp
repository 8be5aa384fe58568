#include "ownership/key_balance.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

/// Minimum number of keys per part when a range is split between hosts.
constexpr std::uint32_t MinSplitKeys = 1024;

/// Number of hosts per group of move targets (see isCandidateFor()). A host may
/// also run one concurrent move per this many hosts, up to MaxConcurrentMoves.
constexpr std::size_t PeersPerGroup = 8;
constexpr std::size_t MaxConcurrentMoves = 6;

/// Requests per second assumed for the whole key space if no rates are known.
constexpr double AssumedTotalRate = 100;

/// A host that may receive keys, with the load that it is expected to have.
struct Candidate {
  std::string Host_;
  double Rate_ = 0;
  double Capacity_ = 1;
};

double loadOf(const Candidate &Host) { return Host.Rate_ / Host.Capacity_; }

double rateOf(const KeyRange &Range, const std::map<KeyId, double> *Rates) {
  double Sum = AssumedTotalRate * sizeOf(Range) / (LastKey + 1.0);
  if (Rates == nullptr || Rates->empty())
    return Sum;
  Sum = 0;
  for (auto At = Rates->lower_bound(Range.First_);
       At != Rates->end() && At->first <= Range.Last_; ++At)
    Sum += At->second;
  return Sum;
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

/// Returns whether a host may receive keys from another one. On a large site
/// each busy host considers only a subset of the hosts, so that not all busy
/// hosts choose the same target.
bool isCandidateFor(const KeyPeer &Peer, const std::string &From,
                    std::size_t PeerCount) {
  const std::size_t Groups =
      std::clamp<std::size_t>(PeerCount / PeersPerGroup, 1, 4);
  const XXH64_hash_t Seed = XXH3_64bits(From.data(), From.size());
  return XXH3_64bits_withSeed(Peer.Host_.data(), Peer.Host_.size(), Seed) %
             Groups ==
         0;
}

const KeyPeer *leastLoaded(const KeyOwnershipInputs &Inputs,
                           const std::string &Except) {
  const KeyPeer *Best = nullptr;
  for (const KeyPeer &Peer : Inputs.Peers_) {
    if (!Peer.AcceptsKeys_ || Peer.RecentlyGainedKeys_ ||
        Peer.Host_ == Except ||
        !isCandidateFor(Peer, Except, Inputs.Peers_.size()))
      continue;
    if (Best == nullptr ||
        Peer.Rate_ / Peer.Capacity_ < Best->Rate_ / Best->Capacity_)
      Best = &Peer;
  }
  return Best;
}

/// A part at the edge of a row and its requests per second.
struct Edge {
  KeyRange Range_;
  double Rate_ = 0;
};

/// Extends a part from one edge of a row until it has about the target rate.
/// \returns a part with rate 0 if the first key alone exceeds the target.
Edge growEdge(const KeyRange &Row, const std::map<KeyId, double> &Rates,
              double TargetRate, bool FromStart) {
  std::vector<std::pair<KeyId, double>> Keys(Rates.lower_bound(Row.First_),
                                             Rates.upper_bound(Row.Last_));
  if (!FromStart)
    std::reverse(Keys.begin(), Keys.end());
  Edge Result;
  const KeyId FarEnd = FromStart ? Row.Last_ : Row.First_;
  KeyId End = FarEnd;
  for (const auto &[Key, Rate] : Keys) {
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
/// several times its capacity needs as many targets.
std::size_t concurrentMoveLimit(const std::string &Host,
                                const KeyOwnershipInputs &Inputs) {
  const KeyPeer *Self = findPeer(Inputs, Host);
  const double Load = Self == nullptr ? 0 : Self->Rate_ / Self->Capacity_;
  const std::size_t Wanted =
      std::max(Inputs.Peers_.size() / PeersPerGroup,
               static_cast<std::size_t>(std::max(Load, 0.0)));
  return std::clamp<std::size_t>(Wanted, 1, MaxConcurrentMoves);
}

/// Adds the expected effect of a move to the predicted loads of both hosts.
void applyToLoads(KeyOwnershipInputs &Predicted, const std::string &From,
                  const KeyPlacement &Move) {
  const double Rate = rateOf(Move.Range_, Predicted.KeyRates_);
  for (KeyPeer &Peer : Predicted.Peers_) {
    if (Peer.Host_ == From)
      Peer.Rate_ -= Rate;
    if (Peer.Host_ == Move.Host_) {
      Peer.Rate_ += Rate;
      Peer.RecentlyGainedKeys_ = true;
    }
  }
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
      Best.Rate_ += rateOf(Piece, Inputs.KeyRates_);
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

std::optional<KeyPlacement> findMove(const std::vector<KeyRow> &OwnRows,
                                     const std::string &Host,
                                     const KeyOwnershipInputs &Inputs,
                                     const KeyOwnershipOptions &Options) {
  const KeyPeer *Self = findPeer(Inputs, Host);
  const KeyPeer *Target = leastLoaded(Inputs, Host);
  if (Self == nullptr || Target == nullptr || Self->RecentlyGainedKeys_ ||
      Inputs.KeyRates_ == nullptr)
    return std::nullopt;
  const double Gap =
      Self->Rate_ / Self->Capacity_ - Target->Rate_ / Target->Capacity_;
  const bool IsBusy =
      Self->Rate_ >= Options.RebalanceMinLoad_ * Self->Capacity_;
  if (!IsBusy || Gap < Options.RebalanceMinGap_)
    return std::nullopt;
  const double TargetRate = Options.RebalanceFraction_ * Gap * Self->Capacity_ *
                            Target->Capacity_ /
                            (Self->Capacity_ + Target->Capacity_);
  Edge Best;
  for (const KeyRow &Row : OwnRows)
    for (const bool FromStart : {true, false}) {
      const Edge Found =
          growEdge(Row.Range_, *Inputs.KeyRates_, TargetRate, FromStart);
      const bool IsCloser = std::abs(Found.Rate_ - TargetRate) <
                            std::abs(Best.Rate_ - TargetRate);
      if (Found.Rate_ > 0 && IsCloser)
        Best = Found;
    }
  if (Best.Rate_ < TargetRate * 0.2)
    return std::nullopt;
  return KeyPlacement{Best.Range_, Target->Host_};
}

std::vector<KeyPlacement> findMoves(const std::vector<KeyRow> &OwnRows,
                                    const std::string &Host,
                                    const KeyOwnershipInputs &Inputs,
                                    const KeyOwnershipOptions &Options) {
  const std::size_t MaxMoves = concurrentMoveLimit(Host, Inputs);
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

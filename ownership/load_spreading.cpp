#include "ownership/load_spreading.h"

#include "ownership/key_part.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

/// The load to which hosts are filled, relative to the mean load, and its
/// minimum.
constexpr double FillAboveMean = 1.1;
constexpr double MinLoadToFill = 0.5;
/// How far a receiver may exceed that load, since keys cannot be divided.
constexpr double MaxOverfill = 1.1;
/// Load from which a host gives keys away, relative to the load to which hosts
/// are filled. Measured rates vary by a few percent.
constexpr double ExcessFrom = 1.07;
/// Exponent of the room of a host in its weight as a receiver. Hosts with much
/// room come first, so that few moves are needed.
constexpr double RoomExponent = 2;

struct Receiver {
  std::string Host_;
  double Rate_ = 0;
  double Capacity_ = 1;
  /// Requests per second that it should receive.
  double Room_ = 0;
  /// Position in the order of this owner; the highest comes first.
  double Order_ = 0;
};

/// Returns the load to which hosts are filled.
double loadToFill(const KeyOwnershipInputs &Inputs) {
  double Rate = 0;
  double Capacity = 0;
  for (const KeyPeer &Peer : Inputs.Peers_) {
    if (!Peer.AcceptsKeys_)
      continue;
    Rate += Peer.Rate_;
    Capacity += Peer.Capacity_;
  }
  return std::max(Capacity > 0 ? FillAboveMean * Rate / Capacity : 0,
                  MinLoadToFill);
}

/// Returns a number from 0 to 1 that depends on both hosts.
double drawFor(const std::string &From, const std::string &To) {
  constexpr double HashRange = 18446744073709551616.0;
  const XXH64_hash_t Seed = XXH3_64bits(From.data(), From.size());
  const XXH64_hash_t Hash = XXH3_64bits_withSeed(To.data(), To.size(), Seed);
  return (static_cast<double>(Hash) + 1) / HashRange;
}

/// Returns the hosts with room in the order in which this owner fills them: a
/// weighted random sample without replacement, the same at each call.
std::vector<Receiver> receiversOf(const KeyPeer &Self,
                                  const KeyOwnershipInputs &Inputs,
                                  double FillTo) {
  std::vector<Receiver> Found;
  for (const KeyPeer &Peer : Inputs.Peers_) {
    const double Room = FillTo * Peer.Capacity_ - Peer.Rate_;
    const bool Suitable = Peer.AcceptsKeys_ && !Peer.RecentlyGainedKeys_ &&
                          Peer.Host_ != Self.Host_ && Room > 0;
    if (!Suitable)
      continue;
    const double Weight = std::pow(Room, RoomExponent);
    Found.push_back({Peer.Host_, Peer.Rate_, Peer.Capacity_, Room,
                     std::log(drawFor(Self.Host_, Peer.Host_)) / Weight});
  }
  std::sort(Found.begin(), Found.end(),
            [](const Receiver &Left, const Receiver &Right) {
              return Left.Order_ > Right.Order_;
            });
  return Found;
}

} // namespace

std::vector<KeyPlacement> spreadExcess(const std::vector<KeyRow> &OwnRows,
                                       const std::string &Host,
                                       const KeyOwnershipInputs &Inputs,
                                       std::size_t MaxMoves) {
  std::vector<KeyPlacement> Moves;
  const KeyPeer *Self = findPeer(Inputs, Host);
  if (Self == nullptr || Inputs.KeyRates_ == nullptr)
    return Moves;
  const double FillTo = loadToFill(Inputs);
  if (Self->Rate_ < ExcessFrom * FillTo * Self->Capacity_)
    return Moves;
  double Excess = Self->Rate_ - FillTo * Self->Capacity_;
  std::vector<Receiver> Receivers = receiversOf(*Self, Inputs, FillTo);
  std::vector<KeyPart> Parts;
  for (const KeyRow &Row : OwnRows)
    addPart(Parts, Row.Range_, Inputs);
  sortParts(Parts);
  for (KeyPart &Part : Parts) {
    for (auto At = Receivers.begin(); At != Receivers.end() &&
                                      !Part.Keys_.empty() && Excess > 0 &&
                                      Moves.size() < MaxMoves;) {
      const double Max = MaxOverfill * FillTo * At->Capacity_ - At->Rate_;
      // The host would be too full with the next key alone.
      if (Part.Keys_.front().Rate_ > Max) {
        ++At;
        continue;
      }
      const double Target = std::min(At->Room_, Excess);
      const KeyPart Taken =
          takeFront(Part, Target, std::min(Max, Target * 1.5));
      Excess -= Taken.Rate_;
      Moves.push_back({Taken.Range_, At->Host_});
      At = Receivers.erase(At);
    }
  }
  return Moves;
}

} // namespace lagoonhitch

#include "ownership/hot_key_placement.h"

#include <xxhash.h>

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Fraction of its owner's capacity from which a key is hot. The owner has too
/// little left for its other keys.
constexpr double HotKeyLoad = 0.8;
/// Fraction of its owner's capacity from which a hot key may move. Below it,
/// all of its requests can run where it is.
constexpr double MinLoadToMove = 1;
/// Capacity of a host, relative to that of the owner, from which a hot key
/// moves there. The key has no owner during the move, and the new owner is slow
/// at first unless it gets the data of the key.
constexpr double MinCapacityGain = 1.4;
/// Weight of a host's present load in the choice of the new owner of a hot key.
/// The load has to move away from there first.
constexpr double PresentLoadWeight = 0.5;
/// Time since a host last gained keys after which it may move a hot key.
constexpr std::chrono::milliseconds MinStay{8000};
/// Maximum number of concurrent moves of other keys.
constexpr std::size_t MaxMoves = 12;
/// Fraction of the owner's capacity below which its other keys stay: a move
/// costs more than so few requests do.
constexpr double MinLoadToClear = 0.02;
/// The load to which hosts are filled, relative to the mean load of all hosts
/// without the hot key and its owner, and its minimum.
constexpr double FillAboveMean = 1.2;
constexpr double MinLoadToFill = 0.5;

bool canReceive(const KeyPeer &Peer, const std::string &From) {
  return Peer.AcceptsKeys_ && !Peer.RecentlyGainedKeys_ && Peer.Host_ != From;
}

double loadOf(const KeyPeer &Peer) { return Peer.Rate_ / Peer.Capacity_; }

std::optional<KeyPlacement> moveToFasterHost(const KeyPeer &Self,
                                             const KeyOwnershipInputs &Inputs,
                                             const BusyKey &Hot) {
  const bool MayMove = Hot.Rate_ >= MinLoadToMove * Self.Capacity_ &&
                       Inputs.SinceLastGain_ >= MinStay;
  if (!MayMove)
    return std::nullopt;
  const KeyPeer *Best = nullptr;
  double BestScore = 0;
  for (const KeyPeer &Peer : Inputs.Peers_) {
    const bool Suitable = canReceive(Peer, Self.Host_) &&
                          Peer.Capacity_ >= MinCapacityGain * Self.Capacity_ &&
                          loadOf(Peer) < HotKeyLoad;
    if (!Suitable)
      continue;
    const double Score = Peer.Capacity_ - PresentLoadWeight * Peer.Rate_;
    if (Best == nullptr || Score > BestScore) {
      Best = &Peer;
      BestScore = Score;
    }
  }
  if (Best == nullptr)
    return std::nullopt;
  return KeyPlacement{{Hot.Key_, Hot.Key_}, Best->Host_};
}

/// Returns the host's keys without the hot one, the busiest part first.
std::vector<KeyPart> partsBeside(KeyId Hot, const std::vector<KeyRow> &OwnRows,
                                 const KeyOwnershipInputs &Inputs) {
  std::vector<KeyPart> Parts;
  for (const KeyRow &Row : OwnRows) {
    if (!contains(Row.Range_, Hot)) {
      addPart(Parts, Row.Range_, Inputs);
      continue;
    }
    if (Row.Range_.First_ < Hot)
      addPart(Parts, {Row.Range_.First_, Hot - 1}, Inputs);
    if (Hot < Row.Range_.Last_)
      addPart(Parts, {Hot + 1, Row.Range_.Last_}, Inputs);
  }
  sortParts(Parts);
  return Parts;
}

/// A host that can receive keys.
struct Receiver {
  std::string Host_;
  double Rate_ = 0;
  double Capacity_ = 1;
  /// Order in which this owner fills hosts with equal loads. It differs from
  /// owner to owner, so that they choose different hosts.
  XXH64_hash_t Rank_ = 0;
};

/// The hosts that can receive keys and the load to which they are filled.
struct Receivers {
  std::vector<Receiver> Hosts_;
  double FillTo_ = 0;
};

Receivers receiversOf(const KeyPeer &Self, const KeyOwnershipInputs &Inputs,
                      const BusyKey &Hot) {
  Receivers Found;
  const XXH64_hash_t Seed = XXH3_64bits(Self.Host_.data(), Self.Host_.size());
  double Rate = std::max(Self.Rate_ - Hot.Rate_, 0.0);
  double Capacity = 0;
  for (const KeyPeer &Peer : Inputs.Peers_) {
    if (!Peer.AcceptsKeys_ || Peer.Host_ == Self.Host_)
      continue;
    Rate += Peer.Rate_;
    Capacity += Peer.Capacity_;
    if (canReceive(Peer, Self.Host_))
      Found.Hosts_.push_back(
          {Peer.Host_, Peer.Rate_, Peer.Capacity_,
           XXH3_64bits_withSeed(Peer.Host_.data(), Peer.Host_.size(), Seed)});
  }
  Found.FillTo_ = std::max(Capacity > 0 ? FillAboveMean * Rate / Capacity : 0,
                           MinLoadToFill);
  return Found;
}

/// Returns the requests per second that a host can still receive.
double roomOf(const Receiver &Host, double FillTo) {
  return FillTo * Host.Capacity_ - Host.Rate_;
}

/// Returns the receiver of the next keys: the one with the first rank among
/// those that have room for all of them; otherwise the one with the most room.
/// \param Rate the requests per second of the keys.
Receiver *chooseReceiver(Receivers &All, double Rate) {
  Receiver *Fitting = nullptr;
  Receiver *Roomiest = nullptr;
  for (Receiver &Host : All.Hosts_) {
    const double Room = roomOf(Host, All.FillTo_);
    if (Room >= Rate && (Fitting == nullptr || Host.Rank_ < Fitting->Rank_))
      Fitting = &Host;
    if (Roomiest == nullptr || Room > roomOf(*Roomiest, All.FillTo_))
      Roomiest = &Host;
  }
  return Fitting != nullptr ? Fitting : Roomiest;
}

std::vector<KeyPlacement> clearHost(const KeyPeer &Self,
                                    const std::vector<KeyRow> &OwnRows,
                                    const KeyOwnershipInputs &Inputs,
                                    const BusyKey &Hot) {
  std::vector<KeyPlacement> Moves;
  Receivers All = receiversOf(Self, Inputs, Hot);
  for (KeyPart &Rest : partsBeside(Hot.Key_, OwnRows, Inputs)) {
    if (Rest.Rate_ < MinLoadToClear * Self.Capacity_)
      break;
    while (!Rest.Keys_.empty() && Moves.size() < MaxMoves) {
      Receiver *Host = chooseReceiver(All, Rest.Rate_);
      if (Host == nullptr)
        return Moves;
      const double Room = roomOf(*Host, All.FillTo_);
      const KeyPart Taken = takeFront(Rest, Room, Room);
      // A busy key that fits on no host moves only to a host that is less
      // loaded with it than this one.
      const bool Relieves =
          Host->Rate_ + Taken.Rate_ < Host->Capacity_ * loadOf(Self);
      if (!Relieves)
        continue;
      Host->Rate_ += Taken.Rate_;
      Moves.push_back({Taken.Range_, Host->Host_});
    }
  }
  return Moves;
}

} // namespace

std::optional<BusyKey> findHotKey(const std::vector<KeyRow> &OwnRows,
                                  const std::string &Host,
                                  const KeyOwnershipInputs &Inputs) {
  const KeyPeer *Self = findPeer(Inputs, Host);
  if (Self == nullptr || Inputs.KeyRates_ == nullptr)
    return std::nullopt;
  std::optional<BusyKey> Busiest;
  const std::map<KeyId, double> &Rates = *Inputs.KeyRates_;
  for (const KeyRow &Row : OwnRows)
    for (auto At = Rates.lower_bound(Row.Range_.First_);
         At != Rates.end() && At->first <= Row.Range_.Last_; ++At)
      if (!Busiest || At->second > Busiest->Rate_)
        Busiest = BusyKey{At->first, At->second};
  if (!Busiest)
    return std::nullopt;
  Busiest->Rate_ *= Inputs.KeyRateFactor_;
  const bool IsHot = Busiest->Rate_ >= HotKeyLoad * Self->Capacity_;
  return IsHot ? Busiest : std::nullopt;
}

std::vector<KeyPlacement> findHotKeyMoves(const std::vector<KeyRow> &OwnRows,
                                          const std::string &Host,
                                          const KeyOwnershipInputs &Inputs,
                                          const BusyKey &Hot) {
  const KeyPeer *Self = findPeer(Inputs, Host);
  if (Self == nullptr || Inputs.KeyRates_ == nullptr)
    return {};
  if (const std::optional<KeyPlacement> Move =
          moveToFasterHost(*Self, Inputs, Hot))
    return {*Move};
  return clearHost(*Self, OwnRows, Inputs, Hot);
}

} // namespace lagoonhitch

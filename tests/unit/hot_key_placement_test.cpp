/// \file
/// Tests of the placement of keys with more requests than their owner can run.

#define BOOST_TEST_MODULE hot_key_placement
#include "ownership/key_balance.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace lagoonhitch {

namespace {

KeyRow row(KeyId First, KeyId Last, const std::string &Host) {
  KeyRow Row;
  Row.Range_ = {First, Last};
  Row.Owner_.Host_ = Host;
  Row.Fence_ = 1;
  return Row;
}

KeyPeer peer(const std::string &Host, double Rate, double Capacity = 60) {
  KeyPeer Peer;
  Peer.Host_ = Host;
  Peer.AcceptsKeys_ = true;
  Peer.Rate_ = Rate;
  Peer.Capacity_ = Capacity;
  return Peer;
}

/// Key 500 of "h0" gets more requests than the host can run; some of its
/// neighbours have requests as well.
struct HotKeyCase {
  std::map<KeyId, double> Rates_;
  KeyOwnershipInputs Inputs_;

  explicit HotKeyCase(int Hosts, double HotRate = 90) {
    for (KeyId Key = 0; Key < 1000; Key += 50)
      Rates_[Key] = 1.5;
    Rates_[500] = HotRate;
    Inputs_.KeyRates_ = &Rates_;
    for (int Index = 0; Index < Hosts; ++Index)
      Inputs_.Peers_.push_back(peer("h" + std::to_string(Index), 15));
    Inputs_.Peers_.front().Rate_ = HotRate + 28.5;
  }

  std::vector<KeyPlacement> moves() const {
    return findMoves({row(0, 999, "h0")}, "h0", Inputs_, KeyOwnershipOptions());
  }

  double movedRate(const std::vector<KeyPlacement> &Moves) const {
    double Moved = 0;
    for (const KeyPlacement &Move : Moves)
      for (const auto &[Key, Rate] : Rates_)
        Moved += contains(Move.Range_, Key) ? Rate : 0;
    return Moved;
  }
};

bool moves(const std::vector<KeyPlacement> &Moves, KeyId Key) {
  return std::any_of(
      Moves.begin(), Moves.end(),
      [Key](const KeyPlacement &Move) { return contains(Move.Range_, Key); });
}

} // namespace

/// One key gets a third of all requests of the service, more than any host can
/// run. Guards against the key's neighbours staying with it: no part at the
/// edge of the row has a rate near the target.
BOOST_AUTO_TEST_CASE(OtherKeysLeaveTheHostOfAHotKey) {
  const HotKeyCase Load(34);
  const std::vector<KeyPlacement> Moves = Load.moves();
  BOOST_TEST(!moves(Moves, 500));
  BOOST_TEST(Load.movedRate(Moves) == 28.5);
  for (const KeyPlacement &Move : Moves)
    BOOST_TEST(Move.Host_ != "h0");
}

/// The same on a site with few hosts. Each receiver stays below the load of the
/// host that is relieved.
BOOST_AUTO_TEST_CASE(OtherKeysLeaveTheHostOfAHotKeyOnASmallSite) {
  HotKeyCase Load(3);
  Load.Inputs_.Peers_[1].Rate_ = 50;
  const std::vector<KeyPlacement> Moves = Load.moves();
  BOOST_TEST(!moves(Moves, 500));
  BOOST_TEST(Load.movedRate(Moves) == 28.5);
  for (const KeyPlacement &Move : Moves)
    BOOST_TEST(Move.Host_ == "h2");
}

/// A hot key on the slowest host moves to one with more capacity, alone.
BOOST_AUTO_TEST_CASE(HotKeyMovesToAMuchFasterHost) {
  HotKeyCase Load(34);
  Load.Inputs_.Peers_[20].Capacity_ = 200;
  Load.Inputs_.Peers_[21].Capacity_ = 120;
  const std::vector<KeyPlacement> Moves = Load.moves();
  BOOST_REQUIRE(Moves.size() == 1U);
  BOOST_TEST(Moves.front().Host_ == "h20");
  BOOST_TEST(Moves.front().Range_.First_ == 500U);
  BOOST_TEST(Moves.front().Range_.Last_ == 500U);
}

/// A hot key must not move back and forth between hosts of similar capacity, or
/// again soon after it has moved. The new owner's other keys leave at once.
BOOST_AUTO_TEST_CASE(HotKeyStaysAfterAMoveAndForASmallGain) {
  HotKeyCase Similar(34);
  Similar.Inputs_.Peers_[20].Capacity_ = 75;
  BOOST_TEST(!moves(Similar.moves(), 500));
  HotKeyCase Moved(34);
  Moved.Inputs_.Peers_[20].Capacity_ = 200;
  Moved.Inputs_.Peers_[0].RecentlyGainedKeys_ = true;
  Moved.Inputs_.SinceLastGain_ = std::chrono::seconds(2);
  const std::vector<KeyPlacement> Moves = Moved.moves();
  BOOST_TEST(!moves(Moves, 500));
  BOOST_TEST(Moved.movedRate(Moves) == 28.5);
}

/// A host that is full already, or that gained keys a moment ago, is no better
/// place for a hot key.
BOOST_AUTO_TEST_CASE(HotKeyAvoidsFullHosts) {
  HotKeyCase Load(34);
  Load.Inputs_.Peers_[20].Capacity_ = 200;
  Load.Inputs_.Peers_[20].Rate_ = 190;
  Load.Inputs_.Peers_[21].Capacity_ = 180;
  Load.Inputs_.Peers_[21].RecentlyGainedKeys_ = true;
  Load.Inputs_.Peers_[22].Capacity_ = 120;
  const std::vector<KeyPlacement> Moves = Load.moves();
  BOOST_REQUIRE(Moves.size() == 1U);
  BOOST_TEST(Moves.front().Host_ == "h22");
}

/// Two hot keys on one host: one of them leaves, although it fits on no other
/// host without making that one full.
BOOST_AUTO_TEST_CASE(HotKeysLeaveEachOther) {
  HotKeyCase Load(34, 100);
  Load.Rates_[700] = 70;
  Load.Inputs_.Peers_.front().Rate_ += 70;
  const std::vector<KeyPlacement> Moves = Load.moves();
  BOOST_TEST(!moves(Moves, 500));
  BOOST_TEST(moves(Moves, 700));
}

/// Once the hot key is alone, no further moves start.
BOOST_AUTO_TEST_CASE(HotKeyAloneCausesNoMoves) {
  HotKeyCase Load(34);
  Load.Rates_ = {{500, 90}};
  Load.Inputs_.Peers_.front().Rate_ = 90;
  BOOST_TEST(findMoves({row(500, 500, "h0")}, "h0", Load.Inputs_,
                       KeyOwnershipOptions())
                 .empty());
}

} // namespace lagoonhitch

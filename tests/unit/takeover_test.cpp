/// \file
/// Tests of takeovers of the keys of failed hosts on a large site.

#define BOOST_TEST_MODULE takeover
#include "ownership/key_ownership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{std::chrono::hours(1)};
constexpr std::size_t HostCount = 142;
constexpr const char *Failed = "h100";

std::string hostName(std::size_t Number) {
  // Names of the same length sort by number.
  return "h" + std::to_string(100 + Number);
}

KeyRow rowOf(const std::string &Host, KeyId First, KeyId Last) {
  KeyRow Row;
  Row.Range_ = {First, Last};
  Row.Owner_ = {Host, "up-" + Host, 7, 1};
  Row.Fence_ = 1;
  return Row;
}

/// Returns the state of a host of a site in which each host owns one range.
KeyOwnershipState stateOf(const std::string &Host) {
  KeyOwnershipState State;
  State.Host_ = Host;
  KeyTable Table;
  const KeyId Width = LastKey / HostCount;
  for (KeyId Number = 0; Number < HostCount; ++Number)
    Table.Rows_.push_back(
        rowOf(hostName(Number), Number * Width, (Number + 1) * Width - 1));
  Table.Offset_ = 0;
  onTable(State, Table, 1, Start);
  return State;
}

/// Returns the inputs of a host that has had no contact with the failed one.
KeyOwnershipInputs inputsAfter(Duration Silence) {
  KeyOwnershipInputs Inputs;
  Inputs.Uptime_ = std::chrono::minutes(1);
  for (std::size_t Number = 0; Number < HostCount; ++Number) {
    KeyPeer Peer;
    Peer.Host_ = hostName(Number);
    Peer.AcceptsKeys_ = Peer.Host_ != Failed;
    if (Peer.Host_ == Failed)
      Peer.SinceLastContact_ = Silence;
    Inputs.Peers_.push_back(std::move(Peer));
  }
  return Inputs;
}

bool startsTakeover(const KeyActions &Actions) {
  return std::any_of(Actions.begin(), Actions.end(),
                     [](const KeyAction &Action) {
                       return Action.Kind_ == KeyAction::Kind::AppendEpoch &&
                              Action.Host_ == Failed;
                     });
}

/// Returns the hosts that take over the keys of the failed host.
std::vector<std::string> takersAfter(Duration Silence,
                                     const std::vector<std::string> &Down) {
  KeyOwnershipInputs Inputs = inputsAfter(Silence);
  std::vector<std::string> Takers;
  for (std::size_t Number = 1; Number < HostCount; ++Number) {
    const std::string Host = hostName(Number);
    if (std::find(Down.begin(), Down.end(), Host) != Down.end())
      continue;
    KeyOwnershipState State = stateOf(Host);
    if (startsTakeover(onKeyTick(State, Inputs, Start)))
      Takers.push_back(Host);
  }
  return Takers;
}

} // namespace

/// A takeover lasts as long as the lease. On a large site most hosts appended
/// an epoch for the failed host in that time, and the store fell behind.
BOOST_AUTO_TEST_CASE(FewHostsTakeOverTheKeysOfOneHost) {
  const KeyOwnershipOptions Options;
  const std::vector<std::string> First =
      takersAfter(Options.SuspectAfter_ + milliseconds(1), {});
  BOOST_TEST(First.size() == 1U);
  const std::vector<std::string> InLease =
      takersAfter(Options.SuspectAfter_ + Options.Lease_, {});
  BOOST_TEST(InLease.size() <= Options.RankCount_);
}

/// The next hosts act if those that should are down without others knowing it.
BOOST_AUTO_TEST_CASE(OtherHostsTakeOverIfTheFirstAreDown) {
  const KeyOwnershipOptions Options;
  const Duration InFirstGroup = Options.SuspectAfter_ + Options.Lease_;
  const std::vector<std::string> First = takersAfter(InFirstGroup, {});
  BOOST_TEST(!takersAfter(InFirstGroup * 2, First).empty());
}

/// The order of takers differs, so that one host does not take over the keys of
/// a whole availability zone.
BOOST_AUTO_TEST_CASE(DifferentHostsTakeOverDifferentFailedHosts) {
  const KeyOwnershipOptions Options;
  const Duration Silence = Options.SuspectAfter_ + milliseconds(1);
  std::size_t Takers = 0;
  for (std::size_t Number = 20; Number < HostCount; ++Number) {
    KeyOwnershipInputs Inputs = inputsAfter(Duration::zero());
    for (std::size_t Lost = 0; Lost < 20; ++Lost) {
      Inputs.Peers_[Lost].AcceptsKeys_ = false;
      Inputs.Peers_[Lost].SinceLastContact_ = Silence;
    }
    KeyOwnershipState State = stateOf(hostName(Number));
    static_cast<void>(onKeyTick(State, Inputs, Start));
    if (!State.Takeovers_.empty())
      ++Takers;
  }
  BOOST_TEST(Takers >= 10U);
}

/// After the loss of many hosts, a takeover was given up when hosts returned
/// that are to act earlier.
BOOST_AUTO_TEST_CASE(TakeoverContinuesWhileOtherHostsReturn) {
  const KeyOwnershipOptions Options;
  const Duration Silence = Options.SuspectAfter_ + milliseconds(1);
  for (std::size_t Number = 1; Number < HostCount; ++Number) {
    KeyOwnershipInputs Inputs = inputsAfter(Silence);
    for (KeyPeer &Peer : Inputs.Peers_)
      Peer.AcceptsKeys_ = false;
    KeyOwnershipState State = stateOf(hostName(Number));
    BOOST_TEST(startsTakeover(onKeyTick(State, Inputs, Start)));
    static_cast<void>(onKeyTick(State, inputsAfter(Silence), Start));
    BOOST_TEST(State.Takeovers_.contains(Failed));
  }
}

/// The store may have acknowledged a takeover's epoch late, after the table has
/// shown a higher one of that host. The takeover was never continued then.
BOOST_AUTO_TEST_CASE(TakeoverContinuesAfterTheHostsEpochHasRisen) {
  const KeyOwnershipOptions Options;
  const KeyOwnershipInputs Inputs = inputsAfter(std::chrono::hours(1));
  KeyOwnershipState State = stateOf(hostName(1));
  BOOST_TEST(startsTakeover(onKeyTick(State, Inputs, Start)));
  KeyTable Newer = State.Table_;
  Newer.Rows_.front().Owner_.Epoch_ = 5;
  Newer.Offset_ = 1;
  onTable(State, Newer, 2, Start);
  BOOST_TEST(startsTakeover(onKeyTick(State, Inputs, Start)));
  onTakeoverEpochReply(State, Failed, 2, AppendReply::Kind::Done, Start);
  BOOST_TEST(!State.Takeovers_.at(Failed).AcknowledgedAt_.has_value());
  onTakeoverEpochReply(State, Failed, 6, AppendReply::Kind::Done, Start);
  BOOST_TEST(State.Takeovers_.at(Failed).AcknowledgedAt_.has_value());
}

} // namespace lagoonhitch

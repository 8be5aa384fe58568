/// \file
/// Tests of when the keys of an upstream are free for another one.

#define BOOST_TEST_MODULE key_holds
#include "ownership/key_holds.h"
#include "ownership/key_ownership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

using std::chrono::milliseconds;

constexpr Instant Start{std::chrono::hours(1)};
/// Until when grants of an earlier process may be in effect.
constexpr Instant EarlierGrantsEnd = Start + milliseconds(8000);

/// A host that owns the lower half of the keys, and another host.
struct TwoHosts {
  KeyOwnershipState State_;
  KeyOwnershipInputs Inputs_;

  TwoHosts() {
    State_.Host_ = "a";
    Inputs_.Uptime_ = std::chrono::minutes(1);
    for (const char *Host : {"a", "b"}) {
      KeyPeer Peer;
      Peer.Host_ = Host;
      Peer.Upstream_ = std::string("up-") + Host;
      Peer.StartMillis_ = 7;
      Peer.Epoch_ = 1;
      Peer.AcceptsKeys_ = true;
      Peer.Capacity_ = 60;
      Inputs_.Peers_.push_back(std::move(Peer));
    }
    setUpstream(LocalUpstream::State::Serving);
  }

  void setUpstream(LocalUpstream::State Value, std::int64_t StartMillis = 7) {
    LocalUpstream Upstream;
    Upstream.State_ = Value;
    Upstream.Id_ = "up-a";
    Upstream.StartMillis_ = StartMillis;
    onUpstream(State_, Upstream);
  }

  /// Returns a table in which the host owns its keys with its current epoch.
  KeyTable table(Offset At, FencingToken Fence) const {
    KeyTable Table;
    for (const KeyPeer &Peer : Inputs_.Peers_) {
      KeyRow Row;
      const bool Own = Peer.Host_ == State_.Host_;
      Row.Range_ = Own ? KeyRange{0, 999} : KeyRange{1000, LastKey};
      Row.Owner_ = {Peer.Host_, Peer.Upstream_, Peer.StartMillis_,
                    Own ? State_.Epoch_ : Peer.Epoch_};
      Row.Fence_ = Fence;
      Table.Rows_.push_back(std::move(Row));
    }
    Table.Offset_ = At;
    return Table;
  }

  /// Acknowledges the current epoch.
  void renewLease(Instant Now) {
    onEpochReply(State_, State_.Epoch_, AppendReply::Kind::Done, Now, Now);
  }

  KeyActions tick(Instant Now) { return onKeyTick(State_, Inputs_, Now); }

  /// Returns the actions of one kind that are due.
  KeyActions tick(Instant Now, KeyAction::Kind Kind) {
    KeyActions Actions = tick(Now);
    std::erase_if(Actions, [Kind](const KeyAction &Action) {
      return Action.Kind_ != Kind;
    });
    return Actions;
  }

  /// Starts with the keys owned, and their grant in flight.
  /// \returns the grant.
  KeyAction startWithGrant() {
    onTable(State_, table(4, 5), 5, Start);
    renewLease(Start);
    onTable(State_, table(5, 5), 6, Start);
    const KeyActions Grants = tick(Start, KeyAction::Kind::Grant);
    BOOST_REQUIRE(Grants.size() == 1U);
    return Grants.front();
  }

  /// Drains the upstream and releases its keys.
  void release(Instant Now) {
    setUpstream(LocalUpstream::State::Draining, State_.Upstream_.StartMillis_);
    const KeyActions Releases = tick(Now, KeyAction::Kind::Release);
    BOOST_REQUIRE(Releases.size() == 1U);
    onReleaseReply(State_, Releases.front().Row_, "handover", Now);
  }

  /// Returns whether the released keys are given to the other host.
  bool reassigns(Instant Now) {
    return !tick(Now, KeyAction::Kind::AppendTable).empty();
  }

  /// Starts as the next process of a daemon whose grants may be in effect until
  /// EarlierGrantsEnd, beside an upstream with the ID that it had.
  void startAfterAnEarlierProcess(std::int64_t StartMillis) {
    State_.EarlierProcessGrantsEnd_ = EarlierGrantsEnd;
    // Keys that are free go to the other host.
    Inputs_.Peers_.front().Rate_ = 50;
    setUpstream(LocalUpstream::State::Serving, StartMillis);
    onTable(State_, table(4, 5), 5, Start);
    renewLease(Start);
  }

  /// Lets the store accept the table that is appended now.
  /// \returns that table.
  KeyTable appendTable(Instant Now) {
    const KeyActions Appends = tick(Now, KeyAction::Kind::AppendTable);
    BOOST_REQUIRE(Appends.size() == 1U);
    AppendReply Reply;
    Reply.Kind_ = AppendReply::Kind::Done;
    Reply.Offset_ = Appends.front().ExpectedEnd_;
    Reply.End_ = Reply.Offset_ + 1;
    onTableReply(State_, Appends.front().AppendId_, Reply, Now);
    return Appends.front().Table_;
  }

  /// Lets the upstream accept a grant of all keys of the host.
  void acceptGrant(Instant Now) {
    const KeyActions Grants = tick(Now, KeyAction::Kind::Grant);
    BOOST_REQUIRE(Grants.size() == 1U);
    onGrantReply(State_, Grants.front().Row_, GrantResult::Granted, Now,
                 Grants.front().Hold_, Now);
  }

  /// Returns whether the first key is given to the other host.
  bool givesAway(Instant Now) {
    for (const KeyAction &Append : tick(Now, KeyAction::Kind::AppendTable))
      if (findRow(Append.Table_, 0)->Owner_.Host_ != State_.Host_)
        return true;
    return false;
  }
};

/// When a process started that follows the one in the table by a restart.
constexpr std::int64_t RestartMillis = 3600000;

} // namespace

/// The process was replaced while a grant was in flight. The upstream may apply
/// it after it has answered the release.
BOOST_AUTO_TEST_CASE(GrantOfAnEarlierProcessCountsAfterARelease) {
  TwoHosts Hosts;
  Hosts.State_.EarlierProcessGrantsEnd_ = EarlierGrantsEnd;
  const KeyAction Grant = Hosts.startWithGrant();
  onGrantReply(Hosts.State_, Grant.Row_, GrantResult::Granted, Start,
               Grant.Hold_, Start);
  Hosts.release(Start + milliseconds(100));
  BOOST_TEST(!Hosts.reassigns(Start + milliseconds(200)));
  Hosts.renewLease(Start + milliseconds(7900));
  BOOST_TEST(!Hosts.reassigns(EarlierGrantsEnd - milliseconds(1)));
  BOOST_TEST(Hosts.reassigns(EarlierGrantsEnd));
}

/// An append that gives away the keys of an upstream without contact is
/// applied, its reply is lost, and its repetition conflicts with it. The
/// upstream must not be granted the keys again before the table is known.
BOOST_AUTO_TEST_CASE(ConflictOfARepeatedAppendGrantsNothingThatItReassigned) {
  TwoHosts Hosts;
  const KeyAction Grant = Hosts.startWithGrant();
  onGrantReply(Hosts.State_, Grant.Row_, GrantResult::Granted, Start,
               Grant.Hold_, Start);
  Hosts.setUpstream(LocalUpstream::State::Lost);
  const Instant Later = Start + milliseconds(3000);
  Hosts.renewLease(Later);
  const KeyActions Appends = Hosts.tick(Later, KeyAction::Kind::AppendTable);
  BOOST_REQUIRE(Appends.size() == 1U);
  onTableReply(Hosts.State_, Appends.front().AppendId_, AppendReply(), Later);
  Hosts.setUpstream(LocalUpstream::State::Serving);
  const Instant Again = Later + milliseconds(1000);
  BOOST_TEST(Hosts.tick(Again, KeyAction::Kind::AppendTable).size() == 1U);
  AppendReply Conflict;
  Conflict.Kind_ = AppendReply::Kind::Conflict;
  Conflict.End_ = 7;
  onTableReply(Hosts.State_, Appends.front().AppendId_, Conflict, Again);
  BOOST_TEST(Hosts.tick(Again, KeyAction::Kind::Grant).empty());
  // Another host's append came first, so this host keeps its keys.
  onTable(Hosts.State_, Hosts.table(6, 5), 7, Again);
  BOOST_TEST(Hosts.tick(Again, KeyAction::Kind::Grant).size() == 1U);
}

/// The end of the topic is known before the table at that end.
BOOST_AUTO_TEST_CASE(EndOfTheTopicAloneDoesNotResolveAnAppend) {
  TwoHosts Hosts;
  const KeyAction Grant = Hosts.startWithGrant();
  onGrantReply(Hosts.State_, Grant.Row_, GrantResult::Granted, Start,
               Grant.Hold_, Start);
  Hosts.setUpstream(LocalUpstream::State::Lost);
  const Instant Later = Start + milliseconds(3000);
  Hosts.renewLease(Later);
  BOOST_TEST(Hosts.tick(Later, KeyAction::Kind::AppendTable).size() == 1U);
  Hosts.setUpstream(LocalUpstream::State::Serving);
  onTable(Hosts.State_, std::nullopt, 7, Later);
  BOOST_TEST(Hosts.tick(Later, KeyAction::Kind::Grant).empty());
  onTable(Hosts.State_, Hosts.table(6, 5), 7, Later);
  BOOST_TEST(Hosts.tick(Later, KeyAction::Kind::Grant).size() == 1U);
}

/// The rejection may be an extra copy of an earlier one, so that the grant is
/// applied after the release.
BOOST_AUTO_TEST_CASE(RejectedGrantCountsAfterARelease) {
  TwoHosts Hosts;
  const KeyAction Grant = Hosts.startWithGrant();
  onGrantReply(Hosts.State_, Grant.Row_, GrantResult::HigherFence, Start,
               Grant.Hold_, Start);
  Hosts.release(Start + milliseconds(100));
  BOOST_TEST(!Hosts.reassigns(Start + milliseconds(2549)));
  BOOST_TEST(Hosts.reassigns(Start + milliseconds(2550)));
}

/// Nothing was written, so nothing can be applied.
BOOST_AUTO_TEST_CASE(GrantThatWasNotSentDelaysNoMove) {
  TwoHosts Hosts;
  const KeyAction Grant = Hosts.startWithGrant();
  onGrantReply(Hosts.State_, Grant.Row_, GrantResult::Rejected, Start,
               Grant.Hold_, Start);
  Hosts.release(Start + milliseconds(100));
  BOOST_TEST(Hosts.reassigns(Start + milliseconds(101)));
}

/// The upstream has restarted, and its new incarnation may have accepted a
/// grant before this host knew of it.
BOOST_AUTO_TEST_CASE(GrantAcceptedByAnUnknownIncarnationCounts) {
  TwoHosts Hosts;
  const KeyAction Grant = Hosts.startWithGrant();
  Hosts.setUpstream(LocalUpstream::State::Serving, 3600000);
  const Instant Later = Start + milliseconds(100);
  BOOST_TEST(!Hosts.reassigns(Later));
  onGrantReply(Hosts.State_, Grant.Row_, GrantResult::Granted, Start,
               Grant.Hold_, Later);
  const Instant End = residualGrantsEnd(Hosts.State_, Grant.Row_.Range_);
  BOOST_TEST((End >= Later + Grant.Hold_));
  BOOST_TEST(!Hosts.reassigns(End - milliseconds(1)));
  BOOST_TEST(Hosts.reassigns(End));
}

/// An upstream restarts under its ID, its daemon renews the grant there and is
/// killed before the first heartbeat. The next process keeps the keys there,
/// with a higher token.
BOOST_AUTO_TEST_CASE(GrantOfAnEarlierProcessToARestartedUpstreamCounts) {
  TwoHosts Hosts;
  Hosts.startAfterAnEarlierProcess(RestartMillis);
  const KeyRow Kept = *findRow(Hosts.appendTable(Start), 0);
  BOOST_TEST(Kept.Owner_.Host_ == Hosts.State_.Host_);
  BOOST_TEST(Kept.Owner_.StartMillis_ == RestartMillis);
  BOOST_TEST(Kept.Fence_ > 5U);
  Hosts.acceptGrant(Start);
  BOOST_TEST(canServeKey(Hosts.State_, 0, Start));
}

/// The upstream got the keys again with a higher token, but may apply a grant
/// with the earlier one after it has released them.
BOOST_AUTO_TEST_CASE(HigherTokenDoesNotEndGrantsOfAnEarlierProcess) {
  TwoHosts Hosts;
  Hosts.startAfterAnEarlierProcess(RestartMillis);
  Hosts.appendTable(Start);
  Hosts.acceptGrant(Start);
  Hosts.release(Start + milliseconds(100));
  BOOST_TEST(!Hosts.givesAway(Start + milliseconds(200)));
  Hosts.renewLease(Start + milliseconds(7900));
  BOOST_TEST(!Hosts.givesAway(EarlierGrantsEnd - milliseconds(1)));
  BOOST_TEST(Hosts.givesAway(EarlierGrantsEnd));
}

/// The first table that is read lacks the host's rows.
BOOST_AUTO_TEST_CASE(KeysInALaterTableMayBeGrantedByAnEarlierProcess) {
  TwoHosts Hosts;
  Hosts.State_.EarlierProcessGrantsEnd_ = EarlierGrantsEnd;
  Hosts.Inputs_.Peers_.front().Rate_ = 50;
  onTable(Hosts.State_, std::nullopt, 4, Start);
  Hosts.renewLease(Start);
  KeyTable Later = Hosts.table(5, 6);
  Later.Rows_.front().Owner_.Epoch_ = 3;
  onTable(Hosts.State_, Later, 6, Start);
  Hosts.setUpstream(LocalUpstream::State::Draining, RestartMillis);
  BOOST_TEST(!Hosts.givesAway(Start));
}

/// As above, but the upstream is draining.
BOOST_AUTO_TEST_CASE(DrainingUpstreamMayHoldKeysOfAnEarlierProcess) {
  TwoHosts Hosts;
  Hosts.startAfterAnEarlierProcess(RestartMillis);
  Hosts.setUpstream(LocalUpstream::State::Draining, RestartMillis);
  BOOST_TEST(!Hosts.givesAway(Start));
  Hosts.renewLease(Start + milliseconds(7900));
  BOOST_TEST(!Hosts.givesAway(EarlierGrantsEnd - milliseconds(1)));
  BOOST_TEST(Hosts.givesAway(EarlierGrantsEnd));
}

/// A grant to the incarnation before it is refused by an upstream with another
/// ID, so its keys are free as soon as it has ended.
BOOST_AUTO_TEST_CASE(UpstreamWithANewIdHoldsNothingOfItsPredecessor) {
  TwoHosts Hosts;
  Hosts.startAfterAnEarlierProcess(RestartMillis);
  Hosts.State_.Upstream_.Id_ = "up-a2";
  BOOST_TEST(Hosts.givesAway(Start));
}

/// The first heartbeat that the next process gets is a late one of an upstream
/// that has ended. The one in the table started later and may hold its keys.
BOOST_AUTO_TEST_CASE(LateHeartbeatEndsNoGrantsOfAnEarlierProcess) {
  TwoHosts Hosts;
  Hosts.startAfterAnEarlierProcess(3);
  Hosts.State_.Upstream_.Id_ = "up-before";
  BOOST_TEST(Hosts.tick(Start, KeyAction::Kind::AppendTable).empty());
  // Few hosts are up, so that keys stay where they are.
  Hosts.Inputs_.Peers_.back().AcceptsKeys_ = false;
  Hosts.Inputs_.Peers_.front().StartMillis_ = 3;
  BOOST_TEST(Hosts.tick(Start, KeyAction::Kind::AppendTable).empty());
  Hosts.setUpstream(LocalUpstream::State::Serving);
  BOOST_TEST(!Hosts.givesAway(Start));
}

/// The start in the table may be wrong, so it does not count for ever.
BOOST_AUTO_TEST_CASE(KeysOfAnUpstreamThatStartedLaterAreFreeInTheEnd) {
  TwoHosts Hosts;
  Hosts.startAfterAnEarlierProcess(3);
  Hosts.State_.Upstream_.Id_ = "up-before";
  Hosts.renewLease(Start + milliseconds(7900));
  BOOST_TEST(!Hosts.reassigns(EarlierGrantsEnd - milliseconds(1)));
  BOOST_TEST(Hosts.reassigns(EarlierGrantsEnd));
}

} // namespace lagoonhitch

#ifndef LAGOONHITCH_TESTS_SCHEDULE_CONTROL_WORLD_H
#define LAGOONHITCH_TESTS_SCHEDULE_CONTROL_WORLD_H

/// \file
/// Daemons' control decisions under a fake clock, network and log.

#include "control/control.h"
#include "control/routing_view.h"
#include "tests/history/history.h"
#include "tests/schedule/fault.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

/// A few daemons, the log and the messages between them, all in memory. A
/// value: a started world can be copied and run on under other faults.
class ControlWorld {
public:
  /// \param Nodes number of daemons, over three availability zones.
  /// \param Shards number of shards of the one service.
  ControlWorld(std::uint32_t Nodes, std::uint32_t Shards);

  /// Sets the seed of delays, losses and clock rates.
  void seed(std::uint64_t Seed);

  /// Adds a fault; its time counts from now.
  void schedule(const Fault &One);

  /// Appends a record to the log at once.
  void append(Record::Body Body);

  /// Delivers a message at once, whatever the network does.
  void inject(const LeaseMessage &Message);

  /// Keeps a daemon from the log for a while.
  void cutFromLog(std::size_t Node, std::chrono::milliseconds Span);

  /// Loses all messages between two daemons for a while.
  void cutLink(std::size_t One, std::size_t Other,
               std::chrono::milliseconds Span);

  /// Stops a daemon from running for a while.
  void pause(std::size_t Node, std::chrono::milliseconds Span);

  /// Ends a daemon for good.
  void lose(std::size_t Node);

  /// Lets true time pass until a condition holds.
  /// \returns whether it did within the limit.
  bool runUntil(const std::function<bool()> &Condition,
                std::chrono::milliseconds Limit);

  /// Returns a daemon's state.
  const ControlState &state(std::size_t Node) const {
    return Nodes_[Node].State_;
  }

  /// Returns the number of the daemon with that member id.
  std::size_t nodeOf(MemberId Id);

  /// Returns the table that the most advanced daemon has read.
  const Table &freshestTable() const;

  /// Returns the log.
  const std::vector<std::pair<Offset, Record>> &log() const { return Log_; }

  /// Lets true time pass.
  void run(std::chrono::milliseconds Span);

  /// Ends all open observations and returns the history since the last call
  /// of seed().
  History takeHistory();

  /// Returns the number of shards that some daemon serves now.
  std::uint32_t servedShards() const;

  /// Returns the longest time that a shard was unserved since seed().
  std::chrono::milliseconds longestGap() const { return LongestGap_; }

  /// Describes the world for a failed check.
  std::string describe() const;

private:
  struct Node {
    ControlState State_;
    std::string Name_;
    /// Local time is true time times Rate_ plus Offset_.
    double Rate_ = 1;
    Duration Offset_{};
    Instant NextTick_;
    Instant NextRead_;
    Instant PausedUntil_;
    Instant IsolatedUntil_;
    Instant CutUntil_;
    Instant UpstreamBackAt_;
    Instant RejoinAt_ = Instant::max();
    RoutingView View_;
    /// Releases that end at a time, as their last request does.
    std::map<ShardKey, std::pair<Instant, Token>> Draining_;
  };
  struct Packet {
    Instant At_;
    LeaseMessage Message_;
  };
  struct Append {
    Instant At_;
    std::size_t Node_ = 0;
    Record Record_;
  };
  struct Seen {
    std::size_t Open_ = 0;
    bool IsOpen_ = false;
  };

  /// Messages from one daemon to another that are lost for a while.
  struct CutLink {
    std::size_t From_ = 0;
    std::size_t To_ = 0;
    Instant Until_;
  };

  std::size_t resolveRole(const Fault &One);
  bool isCut(const Node &From, const Node &To) const;
  Instant localTime(const Node &One) const;
  std::chrono::milliseconds randomMillis(int Low, int High);
  bool chance(int Percent);
  void resetNode(Node &One);
  void startFault(const Fault &One);
  void step();
  void stepNode(std::size_t Index);
  void readLog(Node &One);
  void driveDraining(Node &One);
  void deliverPackets();
  void landAppends();
  void carryOut(std::size_t Index, ControlActions &Actions);
  void sendPacket(const Node &From, const LeaseMessage &Message);
  void observe();
  void observeNode(const Node &One, std::vector<bool> &Served);
  bool isRunning(const Node &One) const;
  bool isLogDown(const Node &One) const;
  Node *findNode(MemberId Id);

  std::uint32_t ShardCount_;
  Instant Now_;
  std::mt19937_64 Random_;
  std::vector<Node> Nodes_;
  /// Lost incarnations whose upstreams may still run requests.
  std::vector<Node> Ghosts_;
  std::vector<std::pair<Offset, Record>> Log_;
  std::deque<Append> Appends_;
  std::deque<Packet> Packets_;
  std::vector<std::pair<Instant, Fault>> Faults_;
  std::vector<CutLink> CutLinks_;
  Instant LogDownUntil_;
  Instant LogSlowUntil_;
  Instant BadNetworkUntil_;
  Offset LogFirst_ = 0;
  std::uint64_t NextNonce_ = 1;
  History History_;
  /// The control events since seed(), one a line.
  std::string Trace_;
  std::map<std::pair<std::string, ShardId>, Seen> Open_;
  std::vector<Instant> LastServed_;
  std::chrono::milliseconds LongestGap_{0};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_CONTROL_WORLD_H

#ifndef LAGOONHITCH_TESTS_SCHEDULE_KEY_SIMULATION_H
#define LAGOONHITCH_TESTS_SCHEDULE_KEY_SIMULATION_H

/// \file
/// Daemons, upstreams and the store, as far as key ownership needs them.

#include "ownership/key_ownership.h"
#include "tests/schedule/key_fault.h"
#include "tests/standin/store_model.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Keys that an upstream holds.
struct SimulatedHold {
  KeyRange Range_;
  FencingToken Fence_ = 0;
  Instant ExpiresAt_;
};

/// An upstream that checks fences and lets holds lapse.
struct SimulatedUpstream {
  std::string Id_;
  std::int64_t StartMillis_ = 1;
  bool Alive_ = true;
  bool Draining_ = false;
  /// Whether its daemon does not reach it.
  bool Unreachable_ = false;
  /// How much longer than told a hold lasts on its clock.
  double ClockSlowdown_ = 1;
  std::vector<SimulatedHold> Holds_;
  /// The highest fence seen, by key ranges.
  std::vector<SimulatedHold> HighestFences_;
};

/// One host: daemon and upstream.
struct SimulatedHost {
  std::string Name_;
  KeyOwnershipState Ownership_;
  SimulatedUpstream Upstream_;
  std::map<KeyId, double> KeyRates_;
  double Rate_ = 20;
  Instant StartedAt_;
  /// Counts the lives of the daemon; answers to earlier ones are dropped.
  std::uint64_t DaemonIncarnation_ = 1;
  bool DaemonRunning_ = true;
  Instant FrozenUntil_ = Instant::min();
  bool StoreUnreachable_ = false;
  bool PeersUnreachable_ = false;
  bool LateGrants_ = false;
  Offset ReadUntil_ = 0;
  Instant LastHeartbeatAt_;
  /// The epoch that the others have heard.
  std::uint64_t LastHeartbeatEpoch_ = 0;
};

/// Runs daemons against faults and notes each rule that is broken.
class KeySimulation {
public:
  KeySimulation(std::uint32_t HostCount, std::uint64_t Seed);

  /// Runs for a span with faults counted from its begin.
  void run(std::chrono::milliseconds Span, const std::vector<KeyFault> &Faults);

  /// Returns the broken rules, in words.
  const std::vector<std::string> &violations() const { return Violations_; }

  /// Returns the number of keys, of those that are looked at, that a living
  /// upstream holds now.
  std::size_t heldKeyCount() const;

  /// Returns the newest table.
  const KeyTable &latestTable() const { return LatestTable_; }

  /// Returns how many appends of tables the store has got.
  std::size_t tableAppendCallCount() const { return TableAppendCalls_; }

  /// Returns how many tables were appended.
  std::size_t tableCount() const;

  /// Options of all daemons, to be set before run(), so that a test can show
  /// that a rule is needed.
  KeyOwnershipOptions Options_;

private:
  struct Event {
    std::function<void()> Callback_;
  };

  void scheduleAt(Instant Time, std::function<void()> Callback);
  void scheduleAfter(std::chrono::milliseconds Delay,
                     std::function<void()> Callback);
  void tickHost(std::size_t HostIndex);
  void runOnDaemon(std::size_t HostIndex, std::uint64_t Incarnation,
                   const std::function<void()> &Callback);
  KeyOwnershipInputs inputsOf(std::size_t HostIndex) const;
  LocalUpstream localUpstreamOf(const SimulatedHost &Host) const;
  void performAction(std::size_t HostIndex, const KeyAction &Action);
  void appendToStore(std::size_t HostIndex, const StoreAppend &Append,
                     const std::function<void(AppendReply)> &OnReply);
  void grantKeys(std::size_t HostIndex, const KeyAction &Action);
  void releaseKeys(std::size_t HostIndex, const KeyAction &Action);
  GrantResult applyGrant(SimulatedHost &Host, const KeyRow &Row,
                         Instant Arrived, Duration Hold);
  void checkTable(const KeyTable &Table);
  void checkGrant(const SimulatedHost &Host, const KeyRow &Row);
  void readTable(std::size_t HostIndex);
  void injectFault(const KeyFault &Fault);
  void killDaemon(std::size_t HostIndex, std::chrono::milliseconds Downtime);
  void crashUpstream(std::size_t HostIndex, std::chrono::milliseconds Downtime);
  std::chrono::milliseconds randomDelay(int Low, int High);

  Instant Now_;
  std::mt19937_64 Random_;
  std::multimap<Instant, Event> Events_;
  std::vector<SimulatedHost> Hosts_;
  StoreModel Store_;
  KeyTable LatestTable_;
  std::size_t TableAppendCalls_ = 0;
  bool StoreDown_ = false;
  bool StoreRejects_ = false;
  bool StoreSlow_ = false;
  bool StoreLosesReplies_ = false;
  bool StoreAppliesLate_ = false;
  bool StaleReads_ = false;
  std::vector<std::string> Violations_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_KEY_SIMULATION_H

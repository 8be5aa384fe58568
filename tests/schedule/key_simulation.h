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
struct ModelHold {
  KeyRange Range_;
  FencingToken Fence_ = 0;
  Instant Until_;
};

/// An upstream that checks fences and lets holds lapse.
struct ModelUpstream {
  std::string Id_;
  std::int64_t Born_ = 1;
  bool Alive_ = true;
  bool Draining_ = false;
  /// Whether its daemon does not reach it.
  bool Silent_ = false;
  /// How much longer than told a hold lasts on its clock.
  double Slowness_ = 1;
  std::vector<ModelHold> Holds_;
  /// The highest fence seen, by key ranges.
  std::vector<ModelHold> Seen_;
};

/// One host: daemon and upstream.
struct ModelHost {
  std::string Name_;
  KeyOwnershipState Duty_;
  ModelUpstream Upstream_;
  std::map<KeyId, double> KeyRates_;
  double Rate_ = 20;
  Instant StartedAt_;
  /// Counts the lives of the daemon; answers to earlier ones are dropped.
  std::uint64_t Life_ = 1;
  bool Running_ = true;
  Instant FrozenUntil_ = Instant::min();
  bool StoreCut_ = false;
  bool PeersCut_ = false;
  bool LateGrants_ = false;
  Offset ReadUntil_ = 0;
  Instant HeardAt_;
  /// The epoch that the others have heard.
  std::uint64_t HeardEpoch_ = 0;
};

/// Runs daemons against faults and notes each rule that is broken.
class KeyWorld {
public:
  KeyWorld(std::uint32_t HostCount, std::uint64_t Seed);

  /// Runs for a span with faults counted from its begin.
  void run(std::chrono::milliseconds Span, const std::vector<KeyFault> &Faults);

  /// Returns the broken rules, in words.
  const std::vector<std::string> &broken() const { return Broken_; }

  /// Returns the number of keys, of those that are looked at, that a living
  /// upstream holds now.
  std::size_t heldKeys() const;

  /// Returns the newest table.
  const KeyTable &table() const { return Last_; }

  /// Returns how many appends of tables the store has got.
  std::size_t tableCalls() const { return TableCalls_; }

  /// Returns how many tables were appended.
  std::size_t tables() const;

  /// Options of all daemons, to be set before run(), so that a test can show
  /// that a rule is needed.
  KeyOwnershipOptions Options_;

private:
  struct Event {
    std::function<void()> Do_;
  };

  void at(Instant When, std::function<void()> Do);
  void after(std::chrono::milliseconds Delay, std::function<void()> Do);
  void tickHost(std::size_t Number);
  void resume(std::size_t Number, std::uint64_t Life,
              const std::function<void()> &Do);
  KeyOwnershipInputs surroundings(std::size_t Number) const;
  LocalUpstream upstreamOf(const ModelHost &Host) const;
  void carryOut(std::size_t Number, const KeyAction &Action);
  void callStore(std::size_t Number, const StoreAppend &Call,
                 const std::function<void(AppendReply)> &Done);
  void grantKeys(std::size_t Number, const KeyAction &Action);
  void releaseKeys(std::size_t Number, const KeyAction &Action);
  GrantResult applyGrant(ModelHost &Host, const KeyRow &Row, Instant Arrived,
                         Duration Hold);
  void checkTable(const KeyTable &Table);
  void checkHold(const ModelHost &Host, const KeyRow &Row);
  void readTable(std::size_t Number);
  void startFault(const KeyFault &Fault);
  void killDaemon(std::size_t Number, std::chrono::milliseconds Down);
  void crashUpstream(std::size_t Number, std::chrono::milliseconds Down);
  std::chrono::milliseconds anyDelay(int Low, int High);

  Instant Now_;
  std::mt19937_64 Random_;
  std::multimap<Instant, Event> Events_;
  std::vector<ModelHost> Hosts_;
  StoreModel Store_;
  KeyTable Last_;
  std::size_t TableCalls_ = 0;
  bool Down_ = false;
  bool Refuses_ = false;
  bool Slow_ = false;
  bool LosesAnswers_ = false;
  bool ActsLate_ = false;
  bool StaleReads_ = false;
  std::vector<std::string> Broken_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_KEY_SIMULATION_H

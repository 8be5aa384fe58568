#ifndef LAGOONHITCH_TESTS_SOAK_SOAK_ROUND_H
#define LAGOONHITCH_TESTS_SOAK_SOAK_ROUND_H

/// \file
/// One round of a soak test: load, faults and checks.

#include "core/clock.h"
#include "tests/history/checker.h"
#include "tests/process/kept_connections.h"
#include "tests/process/load_generator.h"
#include "tests/process/site.h"
#include "tests/soak/fault_plan.h"

#include <chrono>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

/// One round on a site that keeps running afterwards.
class SoakRound {
public:
  /// \param FirstCall number of the first call; must be higher than those of
  /// earlier rounds.
  /// \param RecordedHistory history of the earlier rounds, extended by this
  /// one.
  SoakRound(const Clock &Time, Site &TestSite, FaultPlan Plan,
            std::uint64_t FirstCall, History &RecordedHistory);

  /// Injects the faults under load, waits for recovery, and runs the checks.
  /// \returns the violations found.
  Violations run();

  /// Returns the number of finished calls; after run() only.
  std::size_t callCount() const { return Load_->calls().size(); }

  /// Returns the callers with long idle times; after run() only.
  const KeptConnections &keptConnections() const { return *Kept_; }

private:
  /// A planned stop of a daemon.
  struct PlannedStop {
    std::uint32_t Host_ = 0;
    std::string CallersAddress_;
    Instant StopRequestedAt_;
    Instant EndedAt_;
    /// Empty if the daemon has not exited within its limit.
    std::optional<int> ExitCode_;
  };
  /// The start or end of a fault.
  struct FaultEvent {
    Instant At_;
    bool Starts_ = false;
    Fault Fault_;
  };

  std::vector<FaultEvent> faultEvents() const;
  /// Describes a call; its times are relative to the start of the round, as in
  /// the printed plan.
  std::string describe(const LoadGenerator::Call &Finished) const;
  static bool delaysRequests(const Fault &Current);
  void startFault(const Fault &Current);
  void endFault(const Fault &Current);
  void setRunTime(std::uint32_t Host, std::chrono::microseconds RunTime);
  void startStoreFault(Fault::Kind Kind);
  void endStoreFaults();
  void stateLimit(std::uint32_t Host);
  void endStatedLimit(std::uint32_t Host);
  /// Publishes a manifest on a thread, after those before it, so that other
  /// faults can start and end meanwhile.
  void startPublishing(std::chrono::milliseconds IdleTimeout);
  void publish(const std::string &Manifest) const;
  void killDaemon(std::uint32_t Host);
  /// Sends SIGTERM. The daemon's exit is awaited on a thread, so that other
  /// faults can start and end meanwhile.
  void startStop(std::uint32_t Host);
  /// Waits for the exit, and kills the daemon if it has not exited in time.
  void finishStop(std::uint32_t Host);
  /// Returns whether a host has no daemon at the moment.
  bool hasExited(std::uint32_t Host) const;
  /// Starts a daemon that has exited. Until then its relay refuses connections,
  /// as the system does for a port on which no process listens.
  void restartDaemon(std::uint32_t Host);
  void checkPlannedStops();
  void checkDrains();
  void checkRecovery();
  bool mayBeRejected(const LoadGenerator::Call &Finished) const;
  bool isDisrupted(const LoadGenerator::Call &Finished) const;
  void checkPlannedOperations();
  void checkSingleRuns();
  void checkStatedLimits();
  void checkKeptConnections();
  bool wasKilled(const KeptConnections::Lost &Request) const;

  const Clock &Time_;
  Site &Site_;
  FaultPlan Plan_;
  History &History_;
  std::unique_ptr<LoadGenerator> Load_;
  std::unique_ptr<KeptConnections> Kept_;
  /// The last publication of a manifest; not valid if there was none.
  std::future<void> Publishing_;
  Instant StartedAt_;
  /// When runs were slow or new connections refused; empty if never.
  Instant DelaysFrom_ = Instant::max();
  Instant DelaysTo_ = Instant::min();
  /// Daemons that are stopping, by the number of the host.
  std::map<std::uint32_t, std::future<PlannedStop>> StopsInProgress_;
  /// Hosts whose daemon was killed and is not started yet.
  std::set<std::uint32_t> Killed_;
  /// When daemons were killed, by their `ip:port` for callers.
  std::multimap<std::string, Instant> Kills_;
  std::vector<PlannedStop> Stops_;
  std::vector<StatedLimit> Limits_;
  Violations Violations_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SOAK_SOAK_ROUND_H

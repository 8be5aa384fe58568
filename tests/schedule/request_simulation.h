#ifndef LAGOONHITCH_TESTS_SCHEDULE_REQUEST_SIMULATION_H
#define LAGOONHITCH_TESTS_SCHEDULE_REQUEST_SIMULATION_H

/// \file
/// A deterministic simulation of an entry daemon and several upstream gateways
/// with unreliable connections between them.

#include "core/request_id.h"
#include "recovery/attempt_table.h"
#include "routing/request_plan.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Probabilities of faults, in percent.
struct RequestFaults {
  /// Attempts whose connection is lost.
  int LostConnectionPercent_ = 0;
  /// Attempts with a lost connection that still arrive up to seconds later.
  int LateArrivalPercent_ = 0;
  /// Attempts that a gateway rejects.
  int RejectionPercent_ = 0;
  /// Attempts during which the gateway restarts.
  int RestartPercent_ = 0;
  /// Idempotent requests, which may run more than once.
  int IdempotentPercent_ = 0;
};

/// Runs requests through the decisions of an entry daemon and the attempt
/// tables of gateways, and records each violation of the guarantees for
/// callers.
class RequestSimulation {
public:
  RequestSimulation(std::uint64_t Seed, const RequestFaults &Faults);

  /// Sends calls and runs the simulation until no events are left.
  void run(int Calls);

  /// Returns a description of each violation.
  std::vector<std::string> violations() const;

  /// Returns how many calls ended with an outcome.
  std::size_t countOutcome(Outcome Result) const;

private:
  struct Gateway {
    std::uint64_t ProcessId_ = 0;
    AttemptTable Attempts_;
  };
  struct Call {
    RequestPlan Plan_;
    std::uint32_t Attempt_ = 0;
    std::size_t Gateway_ = 0;
    std::uint64_t ProcessId_ = 0;
    std::size_t Runs_ = 0;
    bool Done_ = false;
    Outcome Outcome_ = Outcome::Unknown;
  };

  bool chance(int Percent);
  Duration randomDelay(int Low, int High);
  void scheduleAfter(Duration Delay, std::function<void()> Callback);
  RequestId idOf(std::size_t CallIndex, std::uint32_t Attempt) const;
  void sendAttempt(std::size_t CallIndex);
  void receiveAttempt(std::size_t CallIndex, std::uint32_t Attempt,
                      std::size_t GatewayIndex, std::uint64_t ProcessId,
                      bool Lost);
  void handleConnectionLoss(std::size_t CallIndex, std::uint32_t Attempt);
  void execute(std::size_t CallIndex, std::uint32_t Attempt,
               std::size_t GatewayIndex, bool Lost);
  void handleResult(std::size_t CallIndex, std::uint32_t Attempt,
                    const AttemptResult &Result);
  void lookUpStatus(std::size_t CallIndex, std::uint32_t Attempt);
  void handleStatus(std::size_t CallIndex, std::uint32_t Attempt,
                    const AttemptInfo &Info);
  void performStep(std::size_t CallIndex, const PlanStep &Step);
  void finishCall(Call &Current, Outcome Result);
  void recordResult(std::size_t CallIndex, std::uint32_t Attempt,
                    std::size_t GatewayIndex, Outcome Result);

  std::mt19937_64 Random_;
  RequestFaults Faults_;
  Instant Now_;
  std::multimap<Instant, std::function<void()>> Events_;
  std::vector<Gateway> Gateways_;
  std::vector<Call> Calls_;
  std::uint64_t NextProcessId_ = 1;
  AttemptTableOptions Options_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_REQUEST_SIMULATION_H

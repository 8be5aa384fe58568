#ifndef LAGOONHITCH_TESTS_SCHEDULE_REQUEST_SIMULATION_H
#define LAGOONHITCH_TESTS_SCHEDULE_REQUEST_SIMULATION_H

/// \file
/// An entry and some doors that lose each other's messages.

#include "core/request_id.h"
#include "recovery/attempt_table.h"
#include "routing/request_plan.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

/// How often what goes wrong, in a hundred.
struct RequestFaults {
  int LostConnections_ = 0;
  /// Requests that arrive seconds after their connection was given up.
  int LateArrivals_ = 0;
  int Refusals_ = 0;
  /// Chance that a door's process is replaced while a request is there.
  int Restarts_ = 0;
  /// Requests that may run more than once.
  int Idempotent_ = 0;
};

/// Runs requests through the decisions of an entry and the fate tables of
/// doors, and notes each promise that is broken.
class RequestWorld {
public:
  RequestWorld(std::uint64_t Seed, const RequestFaults &Faults);

  /// Sends calls and runs until nothing is left to happen.
  void run(int Calls);

  /// Returns the broken promises, in words.
  std::vector<std::string> broken() const;

  /// Returns how many calls ended each way.
  std::size_t ended(Outcome Known) const;

private:
  struct Door {
    std::uint64_t Process_ = 0;
    AttemptTable Fates_;
  };
  struct Call {
    RequestPlan Plan_;
    std::uint32_t Attempt_ = 0;
    std::size_t Door_ = 0;
    std::uint64_t Process_ = 0;
    std::size_t Runs_ = 0;
    bool Done_ = false;
    Outcome Outcome_ = Outcome::Unknown;
  };

  bool chance(int Percent);
  Duration delay(int Low, int High);
  void after(Duration Delay, std::function<void()> Do);
  RequestId idOf(std::size_t Number, std::uint32_t Attempt) const;
  void offer(std::size_t Number);
  void arrive(std::size_t Number, std::uint32_t Attempt, std::size_t Door,
              std::uint64_t Process, bool Lost);
  void lose(std::size_t Number, std::uint32_t Attempt);
  void execute(std::size_t Number, std::uint32_t Attempt, std::size_t Door,
               bool Lost);
  void answer(std::size_t Number, std::uint32_t Attempt,
              const AttemptResult &End);
  void askFate(std::size_t Number, std::uint32_t Attempt);
  void takeFate(std::size_t Number, std::uint32_t Attempt,
                const AttemptInfo &Report);
  void carryOut(std::size_t Number, const PlanStep &Step);
  void finishCall(Call &One, Outcome Known);
  void keepFate(std::size_t Number, std::uint32_t Attempt, std::size_t Door,
                Outcome Known);

  std::mt19937_64 Random_;
  RequestFaults Faults_;
  Instant Now_;
  std::multimap<Instant, std::function<void()>> Agenda_;
  std::vector<Door> Doors_;
  std::vector<Call> Calls_;
  std::uint64_t NextProcess_ = 1;
  AttemptTableOptions Options_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SCHEDULE_REQUEST_SIMULATION_H

#ifndef LAGOONHITCH_TESTS_SOAK_SOAK_ROUND_H
#define LAGOONHITCH_TESTS_SOAK_SOAK_ROUND_H

/// \file
/// One round of a soak: load, faults, and what must hold.

#include "core/clock.h"
#include "tests/history/checker.h"
#include "tests/process/load_generator.h"
#include "tests/process/site.h"
#include "tests/soak/fault_plan.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace lagoonhitch {

/// One round on a site that lives on afterwards.
class SoakRound {
public:
  /// \param Events what earlier rounds have seen; this one adds to it.
  SoakRound(const Clock &Time, Site &Played, FaultPlan Plan,
            std::uint64_t FirstCall, History &Events);

  /// Plays the faults under load, lets the site recover, and checks.
  Violations play();

  /// Returns how many calls were answered.
  std::size_t calls() const { return Load_->calls().size(); }

private:
  /// A stop that an operator asked for.
  struct Stop {
    std::uint32_t Host_ = 0;
    std::string Callers_;
    Instant AskedAt_;
    Instant EndedAt_;
  };
  /// A time at which a fault begins or ends.
  struct Step {
    Instant At_;
    bool Begins_ = false;
    Fault Fault_;
  };

  std::vector<Step> stepsOf(Instant Start) const;
  void begin(const Fault &One);
  void end(const Fault &One);
  void beginStore(Fault::Kind Kind);
  void endStore();
  void stopDaemon(const Fault &One);
  void checkStops();
  void checkDrains(Instant Start);
  void checkRecovered();
  void checkPlanned();

  const Clock &Time_;
  Site &Site_;
  FaultPlan Plan_;
  History &Events_;
  std::unique_ptr<LoadGenerator> Load_;
  std::vector<Stop> Stops_;
  Violations Found_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_SOAK_SOAK_ROUND_H

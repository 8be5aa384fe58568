#include "recovery/lost_runs.h"

#include <utility>

namespace lagoonhitch {

namespace {

/// More than the slots of an upstream.
constexpr std::size_t MaxLostRuns = 64;

} // namespace

void addLostRun(LostRuns &State, LostRun Run) {
  if (State.Runs_.size() < MaxLostRuns)
    State.Runs_.push_back(std::move(Run));
}

void onUpstreamAlive(LostRuns &State, Instant SentAt) {
  std::erase_if(State.Runs_,
                [SentAt](const LostRun &Run) { return Run.LostAt_ < SentAt; });
}

} // namespace lagoonhitch

#include "limits/parent_runs.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

using Entry = std::unordered_map<std::string, ParentRun>::iterator;

void eraseIfUnused(ParentRuns &State, Entry Found) {
  if (Found->second.Runs_ == 0 && Found->second.OpenCalls_ == 0)
    State.ById_.erase(Found);
}

} // namespace

void beginRun(ParentRuns &State, const std::string &Id, std::uint32_t Rank) {
  if (Id.empty())
    return;
  ParentRun &Run = State.ById_[Id];
  Run.Rank_ = Run.Runs_ == 0 ? Rank : std::min(Run.Rank_, Rank);
  ++Run.Runs_;
}

bool endRun(ParentRuns &State, const std::string &Id) {
  const Entry Found = State.ById_.find(Id);
  if (Found == State.ById_.end() || Found->second.Runs_ == 0)
    return false;
  const bool CallRejected = Found->second.RejectedCalls_ > 0;
  --Found->second.Runs_;
  if (Found->second.Runs_ == 0)
    Found->second.RejectedCalls_ = 0;
  eraseIfUnused(State, Found);
  return CallRejected;
}

std::optional<std::uint32_t> beginCall(ParentRuns &State,
                                       const std::string &Parent) {
  const Entry Found = State.ById_.find(Parent);
  if (Found == State.ById_.end() || Found->second.Runs_ == 0 ||
      Found->second.OpenCalls_ >= State.Options_.MaxOpenCalls_)
    return std::nullopt;
  ++Found->second.OpenCalls_;
  return Found->second.Rank_;
}

void endCall(ParentRuns &State, const std::string &Parent, bool Rejected) {
  const Entry Found = State.ById_.find(Parent);
  if (Found == State.ById_.end() || Found->second.OpenCalls_ == 0)
    return;
  --Found->second.OpenCalls_;
  if (Rejected && Found->second.Runs_ > 0)
    ++Found->second.RejectedCalls_;
  eraseIfUnused(State, Found);
}

} // namespace lagoonhitch

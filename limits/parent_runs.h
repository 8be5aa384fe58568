#ifndef LAGOONHITCH_LIMITS_PARENT_RUNS_H
#define LAGOONHITCH_LIMITS_PARENT_RUNS_H

/// \file
/// The requests that the local upstream runs, as parents of the calls that it
/// sends to other services.

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace lagoonhitch {

/// Settings of ParentRuns.
struct ParentRunsOptions {
  /// Maximum number of open calls of one parent that count as calls. It is
  /// above what one request needs at a time, and low enough that one request
  /// can't fill the queues of a service.
  std::uint32_t MaxOpenCalls_ = 16;
};

/// A request that runs, or that has run and still has open calls.
struct ParentRun {
  /// Runs of requests with this ID; a caller may send one twice.
  std::uint32_t Runs_ = 0;
  /// Open calls of these runs.
  std::uint32_t OpenCalls_ = 0;
  /// Calls that have been rejected so far.
  std::uint32_t RejectedCalls_ = 0;
  /// The most urgent rank of these runs.
  std::uint32_t Rank_ = 0;
};

/// Parents by the caller's ID of the request. Holds at most one entry for each
/// running request and each open call.
struct ParentRuns {
  ParentRunsOptions Options_;
  std::unordered_map<std::string, ParentRun> ById_;
};

/// Notes that the upstream starts to run a request. One without ID is ignored.
void beginRun(ParentRuns &State, const std::string &Id, std::uint32_t Rank);

/// Notes that a run has ended.
/// \returns whether a call of it has been rejected.
bool endRun(ParentRuns &State, const std::string &Id);

/// Counts a call of a running request.
/// \returns the parent's rank; std::nullopt if the parent does not run or has
/// too many open calls, so that the call counts as an ordinary request.
std::optional<std::uint32_t> beginCall(ParentRuns &State,
                                       const std::string &Parent);

/// Notes that a call counted by beginCall() has ended.
/// \param Rejected whether it was rejected as not run.
void endCall(ParentRuns &State, const std::string &Parent, bool Rejected);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_PARENT_RUNS_H

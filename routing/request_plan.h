#ifndef LAGOONHITCH_ROUTING_REQUEST_PLAN_H
#define LAGOONHITCH_ROUTING_REQUEST_PLAN_H

/// \file
/// Decisions of the entry daemon, which receives a request from its caller, on
/// how to route and retry that request.

#include "core/clock.h"
#include "core/outcome.h"
#include "core/reject_reason.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace lagoonhitch {

/// Limits and progress of one request at its entry daemon.
struct RequestPlan {
  bool Idempotent_ = false;
  /// Whether the request has a key, so that only the key's owner can run it.
  bool Keyed_ = false;
  /// Whether a running request waits for this one. Its rejection loses a run.
  bool Chained_ = false;
  Instant ArrivedAt_;
  /// When the caller's timeout expires.
  Instant Deadline_;
  /// Latency objective, from the arrival.
  Duration Objective_{};
  /// Maximum of Runs_.
  std::uint32_t MaxRuns_ = 1;
  /// Attempts sent so far.
  std::uint32_t SentAttempts_ = 0;
  /// Attempts that have run or may have run.
  std::uint32_t Runs_ = 0;
  /// Whether the daemon keeps an upstream's failure, which is the answer unless
  /// a further attempt gets a better one.
  bool KeepsFailure_ = false;
  /// Earlier attempts that were given up only because their gateways could not
  /// be asked about them, so that they may still have an answer.
  std::uint32_t UnresolvedAttempts_ = 0;
  /// Whether unresolved attempts are looked up again, and no other is sent.
  bool LooksUpAgain_ = false;
  /// Whether a retry for the next run has been taken from the budget already.
  bool HasRetry_ = false;
  /// Total time for which its key had no available owner.
  Duration OwnerWait_{};
  /// When it last found no owner available.
  Instant LastOwnerLookup_ = Instant::min();
  /// When to stop waiting for the answer to the current attempt, which its
  /// gateway does not know or which can't be looked up; std::nullopt while it
  /// is known to run.
  std::optional<Instant> AnswerWaitEnd_;
};

/// Result of one attempt.
struct AttemptResult {
  Outcome Outcome_ = Outcome::Unknown;
  /// The upstream's HTTP status, if the attempt ran.
  unsigned Status_ = 0;
  RejectReason RejectReason_ = RejectReason::None;
  /// Time until the upstream is expected to have capacity, if rejected.
  Duration RetryAfter_{};
  /// Whether the request was rejected by the upstream itself, not by the
  /// gateway in front of it.
  bool RejectedByUpstream_ = false;
  /// Whether the key has another owner now.
  bool OwnerChanged_ = false;
  /// Whether the other upstreams of the service report that they have no
  /// capacity either.
  bool OthersFull_ = false;
  /// Whether the attempt was given up because its gateway could not be asked.
  bool Unresolved_ = false;
};

/// The next step for a request.
struct PlanStep {
  enum class Kind {
    /// Send another attempt; to a host not tried yet if OtherHost_ is set.
    Send,
    /// Look for the key's owner again after RetryAfter_.
    WaitForOwner,
    /// Look up the latest unresolved attempt, since no further one can be sent.
    LookUpAgain,
    /// Return the upstream's answer to the caller.
    Reply,
    /// Return the failure that an earlier attempt got from its upstream.
    ReplyWithFailure,
    /// Answer that the request has not run and when to retry it.
    Reject,
    /// Answer that the outcome of the request is unknown.
    Fail,
  };
  Kind Kind_ = Kind::Fail;
  bool OtherHost_ = false;
  Duration RetryAfter_{};
  /// HTTP status for Kind::Fail.
  unsigned Status_ = 502;
  /// Error message for the caller.
  const char *Reason_ = "";
};

/// Why an attempt is repeated.
enum class RetryCause {
  /// The upstream has rejected it without running it.
  Rejected,
  /// It ran or may have run. The requests that the upstream sent for it, if
  /// any, are repeated as well.
  Rerun,
};

/// Takes one retry from the budget that all daemons share. Returns false if the
/// budget is exhausted.
using SpendRetry = std::function<bool(RetryCause)>;

/// Returns the next step after an attempt has ended. If no further one can be
/// sent, the unresolved attempts are looked up once more, the latest one first,
/// before the request fails.
PlanStep onAttemptEnd(RequestPlan &Plan, const AttemptResult &Result,
                      const SpendRetry &Spend, Instant Now);

/// Result of looking up the status of a pending attempt at the daemon that it
/// was sent to.
enum class AttemptLookup {
  /// The attempt waits or runs.
  Running,
  /// The attempt has ended or will never run, and the reply has its result. One
  /// that has not arrived is rejected when it does.
  Ended,
  /// The daemon does not run the attempt, and has no information about it or
  /// keeps its answer no longer.
  Unknown,
  /// The daemon was reached but did not answer in time.
  TimedOut,
  /// The look-up could not be sent.
  Unreachable,
};

/// What the entry daemon knows about the current attempt after a status
/// look-up.
struct AttemptView {
  AttemptLookup Lookup_ = AttemptLookup::Unknown;
  /// Whether the attempt's own connection is open.
  bool Connected_ = false;
  /// Whether another host can run the request: its key, if any, has another
  /// owner now.
  bool OtherHost_ = false;
};

/// Returns whether to stop waiting for the current attempt after a status
/// look-up. A look-up that fails says nothing about the attempt, whose own
/// connection may work. If the gateway does not know the attempt, its answer
/// may still be on its way: it is awaited for a limited time, or as long as the
/// connection is open if the request can't be sent again. Without a connection,
/// look-ups that fail are repeated for the same time, since the attempt may
/// run, unless another host can run the request.
/// An unresolved attempt that is looked up again is awaited for the same time.
/// An attempt that may bring an answer is not given up unless a retry can be
/// taken for the next one.
/// \param Spend returns false also while no host can take the next attempt.
bool shouldStopWaiting(RequestPlan &Plan, const AttemptView &View,
                       const SpendRetry &Spend, Instant Now);

/// Returns the next step if the request is known to crash upstreams.
/// \param Left how long it must not be sent.
PlanStep onQuarantined(RequestPlan &Plan, Duration Left);

/// Returns the next step if an unkeyed request can't be sent to another host.
/// \param RetryAfter that of its latest rejection.
PlanStep onNoOtherHost(RequestPlan &Plan, Duration RetryAfter);

/// Returns the next step if no host is available for the request.
PlanStep onNoHost(RequestPlan &Plan, Instant Now);

/// Returns the next step when the request's deadline has passed.
/// \param NotRun whether the pending attempt has provably not run and never
/// will.
PlanStep onDeadline(const RequestPlan &Plan, bool NotRun);

/// Returns the next step when this daemon stops before the request has a
/// response.
/// \param NotRun as for onDeadline().
PlanStep onShutdown(const RequestPlan &Plan, bool NotRun);

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_REQUEST_PLAN_H

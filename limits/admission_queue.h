#ifndef LAGOONHITCH_LIMITS_ADMISSION_QUEUE_H
#define LAGOONHITCH_LIMITS_ADMISSION_QUEUE_H

/// \file
/// Decides which requests the upstream beside a daemon gets, and when.

#include "core/clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoonhitch {

/// Settings of a AdmissionQueue.
struct AdmissionQueueOptions {
  /// Part of its objective that a request may wait though it will be late.
  double LateWaitFraction_ = 0.25;
  /// Weight of one answer in the usual work time.
  double ProcessingTimeWeight_ = 0.05;
  /// Work time that is assumed before the first answer.
  std::chrono::milliseconds InitialProcessingTime_{200};
  /// Requests that a cold upstream gets at once.
  double ColdBurst_ = 3;
  /// Most requests that wait.
  std::size_t MaxWaiting_ = 512;
  /// A request with less time than this in all can't come back after a
  /// refusal, so it waits as long as it can be answered at all. Mostly it is
  /// a part of work that was begun elsewhere.
  std::chrono::milliseconds MinRetryableTimeout_{900};
};

/// A request that waits for the upstream.
struct QueuedRequest {
  std::uint64_t Number_ = 0;
  /// Zero goes first.
  std::uint32_t Rank_ = 0;
  /// When it loses a part of its value.
  Instant ObjectiveAt_;
  /// When its caller stops waiting.
  Instant Deadline_;
  /// Span from its arrival to ObjectiveAt_; requests that have the same one
  /// are of one kind.
  Duration Objective_{};
  /// Span from its arrival to Deadline_.
  Duration Timeout_{};
  /// Whether another door has turned it away before, and counts on its return.
  bool RejectedBefore_ = false;
};

/// The order in which requests are started: by rank, then by objective.
struct QueueOrder {
  std::uint32_t Rank_ = 0;
  Instant ObjectiveAt_;
  std::uint64_t Number_ = 0;

  auto operator<=>(const QueueOrder &) const = default;
};

/// The load of the one upstream, and who waits for it.
struct AdmissionQueue {
  AdmissionQueueOptions Options_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Running_ = 0;
  /// Usual time of an answer, over all kinds and by objective.
  Duration ProcessingTime_{};
  std::map<Duration, Duration> ProcessingTimeByObjective_;
  /// Until when the upstream is cold, and what it bears until then.
  Instant ColdUntil_ = Instant::min();
  double ColdRate_ = 0;
  double ColdTokens_ = 0;
  Instant ColdRefilledAt_ = Instant::min();
  /// Nothing is started before this, after the upstream had no room.
  Instant PausedUntil_ = Instant::min();
  std::map<QueueOrder, QueuedRequest> Waiting_;
  /// Until when those take the room who were told to come back.
  Instant ReservedUntil_ = Instant::min();
};

/// What becomes of a request at the door.
struct AdmissionDecision {
  enum class Kind { Start, Wait, Reject };
  Kind Kind_ = Kind::Reject;
  /// When room is expected, behind those who wait and those who were told to
  /// come back.
  Duration RetryAfter_{};
};

/// Starts over with a new upstream.
void resetForUpstream(AdmissionQueue &State, std::uint32_t Slots);

/// Notes that the upstream is cold until a moment; zero requests a second
/// stand for no limit.
void setCold(AdmissionQueue &State, Instant Until, double PerSecond,
             Instant Now);

/// Returns whether the upstream is cold.
bool isCold(const AdmissionQueue &State, Instant Now);

/// Starts a request, lets it wait, or refuses it.
AdmissionDecision submitRequest(AdmissionQueue &State,
                                const QueuedRequest &Request, Instant Now);

/// Takes the end of a started request.
/// \param Work how long it took; nothing if that says nothing of the upstream.
void finishRequest(AdmissionQueue &State, const QueuedRequest &Request,
                   std::optional<Duration> ProcessingTime);

/// Removes a waiting request; returns whether it was there.
bool cancelWaiting(AdmissionQueue &State, const QueuedRequest &Request);

/// What has become of waiting requests.
struct DispatchResult {
  std::vector<QueuedRequest> Started_;
  /// They can't be answered in time any more.
  std::vector<QueuedRequest> Dropped_;
};

/// Starts waiting requests while there is room.
DispatchResult dispatchWaiting(AdmissionQueue &State, Instant Now);

/// Returns how long a request would wait.
Duration expectedWait(const AdmissionQueue &State, const QueuedRequest &Request,
                      Instant Now);

/// Returns the usual time of an answer to requests of that kind.
Duration expectedProcessingTime(const AdmissionQueue &State,
                                const QueuedRequest &Request);

/// Returns when a cold upstream can take the next request, if one waits for
/// just that.
std::optional<Duration> timeToNextColdToken(const AdmissionQueue &State,
                                            Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_ADMISSION_QUEUE_H

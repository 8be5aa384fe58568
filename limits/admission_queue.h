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

/// Settings of a DoorQueue.
struct DoorOptions {
  /// Part of its objective that a request may wait though it will be late.
  double LateWaitPart_ = 0.25;
  /// Weight of one answer in the usual work time.
  double WorkWeight_ = 0.05;
  /// Work time that is assumed before the first answer.
  std::chrono::milliseconds FirstWork_{200};
  /// Requests that a cold upstream gets at once.
  double ColdBurst_ = 3;
  /// Most requests that wait.
  std::size_t MaxWaiting_ = 512;
  /// A request with less time than this in all can't come back after a
  /// refusal, so it waits as long as it can be answered at all. Mostly it is
  /// a part of work that was begun elsewhere.
  std::chrono::milliseconds ShortLimit_{900};
};

/// A request that waits for the upstream.
struct DoorTicket {
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
  Duration Limit_{};
  /// Whether another door has turned it away before, and counts on its return.
  bool RefusedBefore_ = false;
};

/// The order in which requests are started: by rank, then by objective.
struct DoorOrder {
  std::uint32_t Rank_ = 0;
  Instant ObjectiveAt_;
  std::uint64_t Number_ = 0;

  auto operator<=>(const DoorOrder &) const = default;
};

/// The load of the one upstream, and who waits for it.
struct DoorQueue {
  DoorOptions Options_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Running_ = 0;
  /// Usual time of an answer, over all kinds and by objective.
  Duration Work_{};
  std::map<Duration, Duration> WorkOfKind_;
  /// Until when the upstream is cold, and what it bears until then.
  Instant ColdUntil_ = Instant::min();
  double ColdPerSecond_ = 0;
  double ColdTokens_ = 0;
  Instant ColdFilledAt_ = Instant::min();
  /// Nothing is started before this, after the upstream had no room.
  Instant PausedUntil_ = Instant::min();
  std::map<DoorOrder, DoorTicket> Waiting_;
  /// Until when those take the room who were told to come back.
  Instant PromisedUntil_ = Instant::min();
};

/// What becomes of a request at the door.
struct DoorVerdict {
  enum class Kind { Start, Wait, Refuse };
  Kind Kind_ = Kind::Refuse;
  /// When room is expected, behind those who wait and those who were told to
  /// come back.
  Duration RetryAfter_{};
};

/// Starts over with a new upstream.
void resetDoor(DoorQueue &State, std::uint32_t Slots);

/// Notes that the upstream is cold until a moment; zero requests a second
/// stand for no limit.
void setCold(DoorQueue &State, Instant Until, double PerSecond, Instant Now);

/// Returns whether the upstream is cold.
bool isCold(const DoorQueue &State, Instant Now);

/// Starts a request, lets it wait, or refuses it.
DoorVerdict offer(DoorQueue &State, const DoorTicket &Ticket, Instant Now);

/// Takes the end of a started request.
/// \param Work how long it took; nothing if that says nothing of the upstream.
void finish(DoorQueue &State, const DoorTicket &Ticket,
            std::optional<Duration> Work);

/// Removes a waiting request; returns whether it was there.
bool withdraw(DoorQueue &State, const DoorTicket &Ticket);

/// What has become of waiting requests.
struct DoorChange {
  std::vector<DoorTicket> Started_;
  /// They can't be answered in time any more.
  std::vector<DoorTicket> Dropped_;
};

/// Starts waiting requests while there is room.
DoorChange advance(DoorQueue &State, Instant Now);

/// Returns how long a request would wait.
Duration expectedWait(const DoorQueue &State, const DoorTicket &Ticket,
                      Instant Now);

/// Returns the usual time of an answer to requests of that kind.
Duration workOf(const DoorQueue &State, const DoorTicket &Ticket);

/// Returns when a cold upstream can take the next request, if one waits for
/// just that.
std::optional<Duration> nextColdStart(const DoorQueue &State, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_ADMISSION_QUEUE_H

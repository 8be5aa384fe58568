#ifndef LAGOONHITCH_CONTROL_CONTROL_STATE_H
#define LAGOONHITCH_CONTROL_CONTROL_STATE_H

/// \file
/// All that a daemon's control decisions depend on.

#include "control/control_options.h"
#include "ownership/stream_reader.h"
#include "recovery/lease_holder.h"
#include "recovery/takeover.h"
#include "recovery/witness.h"

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Names one shard of one service.
struct ShardKey {
  std::string Service_;
  ShardId Shard_ = 0;

  auto operator<=>(const ShardKey &) const = default;
};

/// How far the release of a shard has come.
enum class ReleasePhase {
  /// Requests admitted before are still running.
  Draining,
  /// Nothing runs; the witnesses are being told.
  Drained,
  /// The log record is on its way.
  Appended,
};

/// All that a daemon's control decisions depend on.
struct ControlState {
  struct Release {
    Token Token_ = 0;
    ReleasePhase Phase_ = ReleasePhase::Draining;
    /// The renewal that tells the witnesses.
    std::uint64_t Renewal_ = 0;
  };

  struct PendingAppend {
    Record Record_;
    Instant SentAt_;
    Instant RetryAt_;
    Duration Backoff_{};
  };

  ControlOptions Options_;
  /// What this daemon joins with; the nonce changes with each incarnation.
  Member Identity_;
  /// The current incarnation, or NoMember.
  MemberId Self_ = NoMember;
  /// Earlier incarnations of this process. Its memory as a witness is whole,
  /// so it keeps the seats that it held under these ids.
  std::set<MemberId> Former_;
  /// `ip:port` for control messages, also of removed members that still hold
  /// seats.
  std::map<MemberId, std::string> Addresses_;
  Instant JoinedAt_;

  StreamReader Reader_;
  /// When the reader last reached the end of the log.
  Instant CaughtUpAt_ = Instant::min();
  Offset LastCheckpoint_ = 0;
  Instant LastCheckpointAt_;

  std::vector<PendingAppend> Outbox_;
  std::uint64_t NextRecord_ = 0;

  LeaseHolder Holder_;
  Instant LeaseUntil_ = Instant::min();
  Instant LastTick_ = Instant::min();
  Instant NextRenewal_ = Instant::min();
  /// The epoch of the seats that were last renewed at.
  std::uint64_t RenewedEpoch_ = 0;
  bool HadLease_ = false;
  Instant LapsedSince_ = Instant::min();

  Witness Witness_;
  std::map<MemberId, Takeover> Takeovers_;
  std::uint64_t NextAttempt_ = 0;
  /// Members that this one has promised never to take over.
  std::set<MemberId> WaivedFor_;

  std::map<ShardKey, Release> Releases_;
  /// Shards that their old owners have granted, by old owner and token; they
  /// count while the table names this member as the target.
  std::map<ShardKey, std::pair<MemberId, Token>> Granted_;
  /// Every release before this offset is read back.
  Offset ReleaseFloor_ = 0;

  std::map<std::string, std::uint32_t> Slots_;
  std::uint64_t UpdateSequence_ = 0;
  /// Whether an orderly stop was asked for.
  bool Leaving_ = false;
  /// Whether the member serves no more and asks its heirs to waive.
  bool Resigning_ = false;
  std::set<MemberId> WaivedBy_;

  std::uint64_t SeenPlanVersion_ = 0;
  Instant PlanVersionSince_;
  std::uint64_t PlannedVersion_ = 0;
  Instant LastPlanAt_ = Instant::min();
  std::map<MemberId, Instant> UnsettledSince_;
};

/// Returns the table that the daemon has read so far.
inline const Table &tableOf(const ControlState &State) {
  return State.Reader_.Table_;
}

/// Returns the ids under which this process may hold seats.
inline std::set<MemberId> seatIds(const ControlState &State) {
  std::set<MemberId> Ids = State.Former_;
  if (State.Self_ != NoMember)
    Ids.insert(State.Self_);
  return Ids;
}

/// Returns this daemon's member entry, or nullptr.
inline const Member *selfOf(const ControlState &State) {
  return State.Self_ == NoMember ? nullptr
                                 : findMember(tableOf(State), State.Self_);
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_CONTROL_STATE_H

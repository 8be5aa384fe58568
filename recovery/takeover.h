#ifndef LAGOONHITCH_RECOVERY_TAKEOVER_H
#define LAGOONHITCH_RECOVERY_TAKEOVER_H

/// \file
/// The successor's side of a lease: promises, waiting out, serving.

#include "core/clock.h"
#include "ownership/table.h"
#include "recovery/lease_message.h"
#include "recovery/lease_options.h"

#include <map>
#include <set>
#include <vector>

namespace lagoonhitch {

/// How far a take-over has come.
enum class TakeoverPhase {
  /// Asks the witnesses for their promises.
  Asking,
  /// Holds the promises and waits the old lease out.
  Waiting,
  /// The old holder has stopped; the log record is on its way.
  Committed,
};

/// One attempt to succeed a lost member.
struct Takeover {
  struct Promise {
    /// When the renewals of that witness have run out, on this clock.
    Instant ExpiresAt_;
    std::uint64_t Generation_ = 0;
  };
  MemberId Victim_ = NoMember;
  std::uint64_t Attempt_ = 0;
  TakeoverPhase Phase_ = TakeoverPhase::Asking;
  Instant StartedAt_;
  Instant NextAsk_;
  std::map<MemberId, Promise> Promises_;
  /// Witnesses that still hear the victim or have promised another.
  std::set<MemberId> Refused_;
  /// Old witnesses that promise nobody any more.
  std::set<MemberId> Retired_;
  Offset Floor_ = 0;
  std::set<ShardRef> Withheld_;
};

/// Takes a witness's answer.
void onPromiseReply(Takeover &Attempt, MemberId Witness,
                    const LeaseMessage::PromiseReply &Reply,
                    const LeaseOptions &Options, Instant Now);

/// Returns whether the promises suffice against the victim's seats.
bool hasMajority(const Takeover &Attempt, const Member &Victim);

/// Returns whether so many witnesses refuse that there is no majority.
bool isRefused(const Takeover &Attempt, const Member &Victim);

/// Returns when the victim has stopped for certain, given a majority.
Instant victimStoppedAt(const Takeover &Attempt, const LeaseOptions &Options);

/// Returns what the tokens of the victim's shards are raised by.
Token tokenStep(const Takeover &Attempt);

/// Returns the victim's shards that may be served before the log says so,
/// with their new tokens; none while the table is behind the victim's last
/// known releases.
std::vector<ShardRef> inheritedShards(const Takeover &Attempt,
                                      const Table &State);

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_TAKEOVER_H

#ifndef LAGOONHITCH_RECOVERY_WITNESS_H
#define LAGOONHITCH_RECOVERY_WITNESS_H

/// \file
/// The witness's side of leases.

#include "core/clock.h"
#include "ownership/table.h"
#include "recovery/lease_message.h"
#include "recovery/lease_options.h"

#include <map>
#include <set>
#include <vector>

namespace lagoonhitch {

/// The volatile timers that a member holds for others.
struct Witness {
  struct Seat {
    /// When a renewal was last accepted, or the seat was taken.
    Instant HeardAt_;
    /// When a renewal was last received, accepted or not.
    Instant ReceivedAt_;
    /// The newest epoch under which this process knew itself seated.
    std::uint64_t SeatedEpoch_ = 0;
    std::uint64_t Sequence_ = 0;
    Offset Floor_ = 0;
    std::vector<ShardRef> Withheld_;
    /// The successor that was promised, or NoMember.
    MemberId PromisedTo_ = NoMember;
    std::uint64_t PromiseAttempt_ = 0;
    /// Counts the successors promised; never goes down.
    std::uint64_t Generation_ = 0;
    /// Whether a successor that held the promise may have served; the
    /// holder's renewals are then refused for good.
    bool Final_ = false;
    /// No promise is given under this epoch or older ones.
    std::uint64_t RetiredEpoch_ = 0;
    Instant NextSuspect_;
  };
  std::map<MemberId, Seat> Seats_;
};

/// Takes a seat for a holder if there is none yet, and drops the seats of
/// members that the table shows as removed.
void syncSeats(Witness &State, const Table &Members,
               const std::set<MemberId> &Selves, Instant Now);

/// Answers a renewal.
LeaseMessage::RenewAck onRenew(Witness &State, const Table &Members,
                               MemberId Holder,
                               const LeaseMessage::Renew &Message, Instant Now);

/// Answers a successor.
LeaseMessage::PromiseReply onPromiseAsk(Witness &State, const Table &Members,
                                        MemberId Successor,
                                        const LeaseMessage::PromiseAsk &Message,
                                        const LeaseOptions &Options,
                                        Instant Now);

/// Takes a promise back.
void onPromiseWithdraw(Witness &State, MemberId Successor,
                       const LeaseMessage::PromiseWithdraw &Message);

/// Retires an epoch; returns false if a promise stands in the way.
bool onRetire(Witness &State, MemberId Holder,
              const LeaseMessage::Retire &Message, Instant Now);

/// Shifts all timers by a span in which this process did not run, so that its
/// own pause is not taken for the holders' silence.
void shiftTimers(Witness &State, Duration Pause);

/// Whom to tell about a silent holder.
struct Suspicion {
  MemberId Victim_ = NoMember;
  MemberId Successor_ = NoMember;
};

/// Returns the silent holders that are to be reported now: first to the heir,
/// then to one other member after the other.
std::vector<Suspicion> dueSuspicions(Witness &State, const Table &Members,
                                     const std::set<MemberId> &Selves,
                                     const LeaseOptions &Options, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_WITNESS_H

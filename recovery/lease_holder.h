#ifndef LAGOONHITCH_RECOVERY_LEASE_HOLDER_H
#define LAGOONHITCH_RECOVERY_LEASE_HOLDER_H

/// \file
/// The holder's side of a lease.

#include "core/clock.h"
#include "ownership/member.h"
#include "recovery/lease_options.h"

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace lagoonhitch {

/// What a holder knows about its own lease.
struct LeaseHolder {
  struct Ack {
    /// When the acknowledged renewal was sent.
    Instant SentAt_;
    std::uint64_t Sequence_ = 0;
  };
  std::uint64_t Sequence_ = 0;
  std::deque<std::pair<std::uint64_t, Instant>> Sent_;
  std::map<MemberId, Ack> Acks_;
  /// Old witnesses that have retired RetiredEpoch_.
  std::set<MemberId> RetiredBy_;
  std::uint64_t RetiredEpoch_ = 0;
};

/// Starts a renewal.
/// \returns its sequence number.
std::uint64_t beginRenewal(LeaseHolder &Holder, Instant Now);

/// Takes a witness's acknowledgement.
void noteAck(LeaseHolder &Holder, MemberId Witness, std::uint64_t Sequence);

/// Takes an old witness's word that it promises nobody under an epoch.
void noteRetired(LeaseHolder &Holder, MemberId Witness, std::uint64_t Epoch);

/// Returns whether a majority of the old seats has retired.
bool oldSeatsRetired(const LeaseHolder &Holder, const Member &Self);

/// Returns until when the new seats alone carry the lease.
Instant newSeatsUntil(const LeaseHolder &Holder, const Member &Self,
                      const LeaseOptions &Options, Instant Now);

/// Returns until when the holder may serve.
Instant leaseUntil(const LeaseHolder &Holder, const Member &Self,
                   const LeaseOptions &Options, Instant Now);

/// Returns whether the renewal of that sequence number, or a later one, has
/// reached all the majorities that a successor would need.
bool isWitnessed(const LeaseHolder &Holder, const Member &Self,
                 std::uint64_t Sequence);

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_LEASE_HOLDER_H

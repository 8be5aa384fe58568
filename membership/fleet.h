#ifndef LAGOONHITCH_MEMBERSHIP_FLEET_H
#define LAGOONHITCH_MEMBERSHIP_FLEET_H

/// \file
/// What this daemon believes of all members of its site.

#include "core/clock.h"
#include "membership/load_digest.h"
#include "membership/member_record.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

/// One member as this daemon sees it.
struct FleetMember {
  MemberRecord Record_;
  LoadDigest Digest_;
  /// The daemon's process, as its record or a digest told last.
  std::uint64_t Process_ = 0;
  /// When the last digest came; Instant::min() for never.
  Instant LastDigestAt_ = Instant::min();
  /// When an answer last told the load.
  Instant LoadReportedAt_ = Instant::min();
  /// When the record was first read.
  Instant FirstSeenAt_ = Instant::min();
  /// Nothing is sent there before this, after a failure to reach it.
  Instant AvoidUntil_ = Instant::min();
  /// This daemon's requests that wait for an answer from there.
  std::uint32_t InFlight_ = 0;
  /// This daemon's requests that were sent since the load was last told.
  std::uint32_t SentSinceLoadUpdate_ = 0;
};

/// All members by host.
struct Fleet {
  std::map<std::string, FleetMember> Members_;
  /// Zones whose upstreams are to get nothing.
  std::set<std::string> EvacuatedZones_;
};

/// Returns the member, or nullptr.
FleetMember *findMember(Fleet &State, const std::string &Host);
const FleetMember *findMember(const Fleet &State, const std::string &Host);

/// Takes a record from the store.
void applyRecord(Fleet &State, const MemberRecord &Record, Instant Now);

/// Takes a digest unless a newer one of that process is known.
void applyDigest(Fleet &State, const LoadDigest &Digest, Instant Now);

/// Takes the load that came with an answer.
void applyLoadReport(FleetMember &Member, const LoadReport &Load, Instant Now);

/// Returns the longest pause between two digests of a member that says nothing,
/// at least a span: some digests get lost.
Duration digestTimeout(const FleetMember &Member, Duration Minimum);

/// Returns whether the load of a member is known well enough.
bool hasRecentLoad(const FleetMember &Member, Duration MaxAge, Instant Now);

/// Returns whether a member was heard of in the last span, or in the time in
/// which it sends a few digests.
bool hasRecentDigest(const FleetMember &Member, Duration MaxAge, Instant Now);

/// Returns whether new requests may be sent to a member's upstream.
bool acceptsRequests(const Fleet &State, const FleetMember &Member);

/// Returns the hosts of a service whose upstreams take requests and that were
/// heard of in the last span.
std::vector<std::string> servingHosts(const Fleet &State,
                                      const std::string &Service,
                                      Duration MaxAge, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_FLEET_H

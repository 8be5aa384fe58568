#ifndef LAGOONHITCH_MEMBERSHIP_FLEET_H
#define LAGOONHITCH_MEMBERSHIP_FLEET_H

/// \file
/// The state of all members of the site, as this daemon knows it.

#include "core/clock.h"
#include "membership/load_digest.h"
#include "membership/member_record.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The state of one member, as this daemon knows it.
struct FleetMember {
  MemberRecord Record_;
  LoadDigest Digest_;
  /// The random number of the member's daemon process, from its latest record
  /// or digest.
  std::uint64_t Process_ = 0;
  /// When the last digest arrived; Instant::min() for never.
  Instant LastDigestAt_ = Instant::min();
  /// When a response last included a load report; Instant::min() for never.
  Instant LoadReportedAt_ = Instant::min();
  /// When the member's record was first received.
  Instant FirstSeenAt_ = Instant::min();
  /// The member is avoided until this time, after a failure to reach it.
  Instant AvoidUntil_ = Instant::min();
  /// This daemon's requests to the member that await a response.
  std::uint32_t InFlight_ = 0;
  /// This daemon's requests to the member since its load was last updated by a
  /// digest or a load report.
  std::uint32_t SentSinceLoadUpdate_ = 0;
};

/// All members, by host.
struct Fleet {
  std::map<std::string, FleetMember> Members_;
  /// Evacuated zones; their upstreams get no new requests.
  std::set<std::string> EvacuatedZones_;
};

/// Returns the member on a host, or nullptr if there is none.
FleetMember *findMember(Fleet &State, const std::string &Host);
const FleetMember *findMember(const Fleet &State, const std::string &Host);

/// Updates the member with its record from the store. The member is no longer
/// avoided if its daemon or its upstream has restarted.
void applyRecord(Fleet &State, const MemberRecord &Record, Instant Now);

/// Updates the member with a digest. Ignores digests of unknown members, and
/// those that are not newer than the last one of the same process. The member
/// is no longer avoided if its daemon has restarted.
void applyDigest(Fleet &State, const LoadDigest &Digest, Instant Now);

/// Updates a member with the load report of a response.
void applyLoadReport(FleetMember &Member, const LoadReport &Load, Instant Now);

/// Returns how long a member may send no digest before it counts as
/// unresponsive: several of its digest intervals, since some digests are lost,
/// but not less than Minimum.
Duration digestTimeout(const FleetMember &Member, Duration Minimum);

/// Returns how long a host may send no digest to this daemon before it is
/// suspected to have failed. If no digest of the host has stated an interval
/// yet, its digests are expected at the interval of this daemon's own.
/// \param Member the host, nullptr if it is not a member.
/// \param Own this daemon's host, nullptr if it is not a member.
Duration contactTimeout(const FleetMember *Member, const FleetMember *Own);

/// Returns whether a member's load is known from a load report not older than
/// MaxAge or from a recent digest.
bool hasRecentLoad(const FleetMember &Member, Duration MaxAge, Instant Now);

/// Returns whether a member's last digest is not older than MaxAge or, if that
/// is longer, the member's digestTimeout().
bool hasRecentDigest(const FleetMember &Member, Duration MaxAge, Instant Now);

/// Returns whether a member's last digest says that its daemon rejects requests
/// until it has stopped, and it may not have stopped yet. A connection that is
/// opened now may be reset when its port closes.
bool isAboutToEnd(const FleetMember &Member, Instant Now);

/// Returns whether new requests may be sent to a member's upstream: it is ready
/// and its zone is not evacuated.
bool acceptsRequests(const Fleet &State, const FleetMember &Member);

/// Returns the hosts of a service whose upstreams accept requests and that have
/// a recent digest.
std::vector<std::string> servingHosts(const Fleet &State,
                                      const std::string &Service,
                                      Duration MaxAge, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_FLEET_H

#ifndef LAGOONHITCH_MEMBERSHIP_MEMBER_RECORD_H
#define LAGOONHITCH_MEMBERSHIP_MEMBER_RECORD_H

/// \file
/// The member records in the store.

#include "membership/upstream_crash.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Whether an upstream accepts requests.
enum class UpstreamState { Ready, Draining, Lost };

/// Returns the name of a state in records and in the admin interface.
const char *upstreamStateName(UpstreamState State);

/// A daemon's record of itself and its upstream in the store; rewritten when it
/// changes.
struct MemberRecord {
  std::string Host_;
  std::string Zone_;
  std::string Service_;
  /// Address for other daemons' requests as `ip:port`.
  std::string PeerAddress_;
  /// Address for other daemons' digests as `ip:port`.
  std::string DigestAddress_;
  /// The upstream's identifier.
  std::string Upstream_;
  /// Start time of the upstream in milliseconds since the Unix epoch.
  /// Distinguishes the incarnations of an upstream.
  std::int64_t StartMillis_ = 0;
  /// How many requests the upstream runs concurrently.
  std::uint32_t Slots_ = 0;
  /// The random number of the daemon's process.
  std::uint64_t Process_ = 0;
  UpstreamState State_ = UpstreamState::Lost;
  /// The latest crashes of upstreams on this host.
  std::vector<UpstreamCrash> Crashes_;

  bool operator==(const MemberRecord &) const = default;
};

/// Encodes a record as JSON.
std::string encodeMember(const MemberRecord &Record);

/// Decodes a JSON record; returns std::nullopt if it is malformed.
std::optional<MemberRecord> decodeMember(const std::string &Encoded);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_MEMBER_RECORD_H

#ifndef LAGOONHITCH_MEMBERSHIP_MEMBER_RECORD_H
#define LAGOONHITCH_MEMBERSHIP_MEMBER_RECORD_H

/// \file
/// What a daemon tells of itself and its upstream in the store.

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Whether an upstream takes requests.
enum class UpstreamState { Ready, Draining, Lost };

/// Returns the name of a state, as records and pages show it.
const char *upstreamStateName(UpstreamState State);

/// What a daemon tells of itself and its upstream in the store; written when
/// it changes.
struct MemberRecord {
  std::string Host_;
  std::string Zone_;
  std::string Service_;
  /// `ip:port` for other daemons.
  std::string PeerAddress_;
  /// `ip:port` for other daemons' digests.
  std::string DigestAddress_;
  std::string Upstream_;
  /// Calendar time of the upstream's start in milliseconds; tells one life of
  /// an upstream from the next.
  std::int64_t StartMillis_ = 0;
  std::uint32_t Slots_ = 0;
  /// The random number of the daemon's process.
  std::uint64_t Process_ = 0;
  UpstreamState State_ = UpstreamState::Lost;

  bool operator==(const MemberRecord &) const = default;
};

/// Encodes a record as JSON.
std::string encodeMember(const MemberRecord &Record);

/// Decodes a record; returns nothing if it can't be read.
std::optional<MemberRecord> decodeMember(const std::string &Encoded);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_MEMBER_RECORD_H

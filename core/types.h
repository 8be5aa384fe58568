#ifndef LAGOONHITCH_CORE_TYPES_H
#define LAGOONHITCH_CORE_TYPES_H

/// \file
/// Identifiers shared by all packages.

#include <cstdint>

namespace lagoonhitch {

/// Identifies one incarnation of a daemon in a site: the offset of the log
/// record with which it joined, plus one. Zero is "no member".
using MemberId = std::uint64_t;

/// A position in a stream of the log.
using Offset = std::uint64_t;

/// A fencing token: grows with every change of a shard's owner.
using FencingToken = std::uint64_t;

/// The number of a shard within its service.
using ShardId = std::uint32_t;

/// The member id that stands for "none".
inline constexpr MemberId NoMember = 0;

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_TYPES_H

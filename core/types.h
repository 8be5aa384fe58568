#ifndef LAGOONHITCH_CORE_TYPES_H
#define LAGOONHITCH_CORE_TYPES_H

/// \file
/// Identifiers that are used in several libraries.

#include <cstdint>

namespace lagoonhitch {

/// Identifies one incarnation of a daemon in a site: the offset of the log
/// record by which it joined, plus one. Zero is NoMember.
using MemberId = std::uint64_t;

/// A position in a topic of the store, with the era in which the store gave it
/// out (store/store_era.h).
using Offset = std::uint64_t;

/// A fencing token: increases with each change of ownership.
using FencingToken = std::uint64_t;

/// The number of a shard within its service.
using ShardId = std::uint32_t;

/// The id that stands for no member.
inline constexpr MemberId NoMember = 0;

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_TYPES_H

#ifndef LAGOONHITCH_STORE_STORE_ERA_H
#define LAGOONHITCH_STORE_STORE_ERA_H

/// \file
/// Positions in a store that may be restored from an older copy.

#include "core/types.h"

#include <cstdint>

namespace lagoonhitch {

/// Counts how often the store was restored from an older copy of its content.
/// Positions after the end of the copy are then given out once more, to other
/// records. Zero if the store reports none.
enum class StoreEra : std::uint32_t {};

/// Bits of an Offset that hold the position in the topic; those above hold the
/// era. Fencing tokens are made of offsets, and JSON readers that use
/// floating-point numbers represent integers up to 53 bits exactly.
inline constexpr unsigned OffsetIndexBits = 32;

/// The largest position in a topic.
inline constexpr std::uint64_t MaxOffsetIndex =
    (std::uint64_t{1} << OffsetIndexBits) - 1;

/// Returns the offset of a position in an era. Each offset of an era is greater
/// than all those of earlier eras.
constexpr Offset makeOffset(StoreEra Era, std::uint64_t Index) {
  return (std::uint64_t{static_cast<std::uint32_t>(Era)} << OffsetIndexBits) |
         Index;
}

/// Returns the era of an offset, or of a fencing token.
constexpr StoreEra eraOf(Offset Position) {
  return static_cast<StoreEra>(Position >> OffsetIndexBits);
}

/// Returns the position in the topic, as the store numbers it.
constexpr std::uint64_t indexOf(Offset Position) {
  return Position & MaxOffsetIndex;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_STORE_STORE_ERA_H

#ifndef LAGOONHITCH_CORE_KEY_RANGE_H
#define LAGOONHITCH_CORE_KEY_RANGE_H

/// \file
/// Keys and ranges of keys.

#include <algorithm>
#include <compare>
#include <cstdint>

namespace lagoonhitch {

/// The number of a key of a sharded service.
using KeyId = std::uint32_t;

/// The highest key number.
inline constexpr KeyId LastKey = 65535;

/// The keys from First_ to Last_, both inclusive.
struct KeyRange {
  KeyId First_ = 0;
  KeyId Last_ = 0;

  auto operator<=>(const KeyRange &) const = default;
};

/// Returns whether a key is in the range.
constexpr bool contains(const KeyRange &Range, KeyId Key) {
  return Range.First_ <= Key && Key <= Range.Last_;
}

/// Returns whether two ranges have a key in common.
constexpr bool overlaps(const KeyRange &Left, const KeyRange &Right) {
  return Left.First_ <= Right.Last_ && Right.First_ <= Left.Last_;
}

/// Returns the keys that are in both ranges; they must overlap.
constexpr KeyRange intersection(const KeyRange &Left, const KeyRange &Right) {
  return {std::max(Left.First_, Right.First_),
          std::min(Left.Last_, Right.Last_)};
}

/// Returns the number of keys in the range.
constexpr std::uint32_t sizeOf(const KeyRange &Range) {
  return Range.Last_ - Range.First_ + 1;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_KEY_RANGE_H

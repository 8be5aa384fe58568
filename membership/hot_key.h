#ifndef LAGOONHITCH_MEMBERSHIP_HOT_KEY_H
#define LAGOONHITCH_MEMBERSHIP_HOT_KEY_H

/// \file
/// Keys with more requests than their owner can run.

#include "core/key_range.h"

#include <cstddef>
#include <cstdint>

namespace lagoonhitch {

/// Maximum number of hot keys that one daemon reports.
inline constexpr std::size_t MaxHotKeys = 4;

/// Rate of a hot key that entry daemons send to its owner, relative to the rate
/// that the owner admits. Above one, so that the owner stays fully used
/// although the requests arrive at random.
inline constexpr double HotKeyMargin = 1.1;

/// A key with more requests than its owner can run, as the owner reports it.
struct HotKey {
  KeyId Key_ = 0;
  /// Requests per second of the key that the owner admits.
  std::uint32_t AdmittedPerSecond_ = 0;
  /// Requests per second of the key that callers send, as far as known.
  std::uint32_t RequestedPerSecond_ = 0;

  bool operator==(const HotKey &) const = default;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_HOT_KEY_H

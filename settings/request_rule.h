#ifndef LAGOONHITCH_SETTINGS_REQUEST_RULE_H
#define LAGOONHITCH_SETTINGS_REQUEST_RULE_H

/// \file
/// How requests of one method and path are treated.

#include <chrono>
#include <cstdint>
#include <string>

namespace lagoonhitch {

/// Priorities of requests; a higher one is served first.
enum class Priority : std::uint8_t { Low = 0, Normal = 1, High = 2 };

/// Number of priorities.
inline constexpr std::size_t PriorityCount = 3;

/// How requests of one method and path are treated.
struct RequestRule {
  std::string Method_;
  /// Path pattern; `*` stands for one segment, a last `**` for the rest.
  std::string Path_;
  /// Whether a request may be executed more than once.
  bool Idempotent_ = false;
  Priority Priority_ = Priority::Normal;
  std::chrono::milliseconds Timeout_{5000};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_REQUEST_RULE_H

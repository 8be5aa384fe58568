#ifndef LAGOONHITCH_SETTINGS_REQUEST_RULE_H
#define LAGOONHITCH_SETTINGS_REQUEST_RULE_H

/// \file
/// Rules for the requests of a service.

#include <chrono>
#include <cstdint>
#include <string>

namespace lagoonhitch {

/// Priorities of requests. Requests of a higher priority are served first.
enum class Priority : std::uint8_t { Low = 0, Normal = 1, High = 2 };

/// Number of priorities.
inline constexpr std::size_t PriorityCount = 3;

/// How requests with one method and path pattern are handled.
struct RequestRule {
  std::string Method_;
  /// Path pattern: `*` matches one segment, a final `**` all remaining ones.
  std::string Path_;
  /// Whether it is safe to execute a request more than once.
  bool Idempotent_ = false;
  Priority Priority_ = Priority::Normal;
  /// Time from a request's arrival until it fails.
  std::chrono::milliseconds Timeout_{5000};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_SETTINGS_REQUEST_RULE_H

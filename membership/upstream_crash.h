#ifndef LAGOONHITCH_MEMBERSHIP_UPSTREAM_CRASH_H
#define LAGOONHITCH_MEMBERSHIP_UPSTREAM_CRASH_H

/// \file
/// The record of a crash of an upstream.

#include "core/request_fingerprint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// A crash of one incarnation of an upstream.
struct UpstreamCrash {
  /// The upstream's identifier.
  std::string Upstream_;
  /// Start time of the incarnation in milliseconds since the Unix epoch.
  std::int64_t StartMillis_ = 0;
  /// When it crashed, since the Unix epoch.
  std::chrono::milliseconds At_{0};
  /// The requests that it may have been running.
  std::vector<RequestFingerprint> Requests_;

  bool operator==(const UpstreamCrash &) const = default;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_UPSTREAM_CRASH_H

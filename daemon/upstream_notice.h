#ifndef LAGOONHITCH_DAEMON_UPSTREAM_NOTICE_H
#define LAGOONHITCH_DAEMON_UPSTREAM_NOTICE_H

/// \file
/// What an upstream states about itself in the headers of its responses.

#include <cstdint>
#include <optional>

namespace lagoonhitch {

struct HeaderNames;
struct HttpResponse;

/// What an upstream states about itself in the headers of a response.
struct UpstreamNotice {
  /// The requests per second that it accepts from all callers together;
  /// std::nullopt if it states no limit.
  std::optional<double> RateLimit_;
  /// Whether it states a limit that is not a number of at least zero.
  bool RateLimitUnreadable_ = false;
  /// How long work takes on it, in percent of the usual time; std::nullopt if
  /// it states no plausible value.
  std::optional<std::uint32_t> SlowdownPercent_;
  /// Whether it is about to terminate.
  bool Leaving_ = false;
};

/// Reads the notice in the headers of a response.
UpstreamNotice readUpstreamNotice(const HttpResponse &Response,
                                  const HeaderNames &Names);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_UPSTREAM_NOTICE_H

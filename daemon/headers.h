#ifndef LAGOONHITCH_DAEMON_HEADERS_H
#define LAGOONHITCH_DAEMON_HEADERS_H

/// \file
/// Names of the HTTP headers that this project defines.

namespace lagoonhitch {

/// Towards callers: `ran`, `not-run` or `unknown`.
inline constexpr const char *OutcomeHeader = "Lagoonhitch-Outcome";
/// From callers and towards upstreams: milliseconds that are left.
inline constexpr const char *DeadlineHeader = "Lagoonhitch-Deadline-Ms";
/// From callers: the number of the caller's own attempt, from 1.
inline constexpr const char *CallerAttemptHeader = "Lagoonhitch-Attempt";
/// From callers: names a request that must not run twice.
inline constexpr const char *IdempotencyHeader = "Idempotency-Key";
/// Towards upstreams: the attempt's id.
inline constexpr const char *RequestIdHeader = "Lagoonhitch-Request-Id";
/// Towards upstreams: the fencing token of the key's shard.
inline constexpr const char *TokenHeader = "Lagoonhitch-Token";
/// Towards upstreams: CLOCK_BOOTTIME in milliseconds after which the request
/// must not be started.
inline constexpr const char *NotAfterHeader = "Lagoonhitch-Not-After";
/// From upstreams: `no` if the request was not executed.
inline constexpr const char *RunHeader = "Lagoonhitch-Run";

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_HEADERS_H

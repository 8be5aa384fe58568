#ifndef LAGOONHITCH_CORE_GRANT_METHOD_H
#define LAGOONHITCH_CORE_GRANT_METHOD_H

/// \file
/// How an upstream is told which keys it holds.

namespace lagoonhitch {

/// How an upstream is told which keys it holds.
enum class GrantMethod {
  /// Its daemon calls it to grant and to release keys.
  Calls,
  /// The replies to its heartbeats declare all keys that it is to hold.
  HeartbeatReplies,
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_GRANT_METHOD_H

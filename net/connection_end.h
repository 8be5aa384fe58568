#ifndef LAGOONHITCH_NET_CONNECTION_END_H
#define LAGOONHITCH_NET_CONNECTION_END_H

/// \file
/// Why a server's connection to a client ended.

namespace lagoonhitch {

/// Why a server's connection to a client ended.
enum class ConnectionEnd {
  /// The client closed it.
  Closed,
  /// It was reset or timed out.
  Broken,
  /// The client acknowledges nothing of what was written.
  PeerGone,
  /// The client does not read its responses.
  ResponseNotRead,
  /// It was idle for too long.
  IdleTimeout,
  /// The server closed it after its last response, or to drain.
  Completed,
};

/// Returns whether a connection ended by a fault. Its client may not want that,
/// and may wait for the result of its request.
bool isBroken(ConnectionEnd End);

/// Returns the cause as a part of a sentence, such as "was idle for too long".
const char *describeEnd(ConnectionEnd End);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_CONNECTION_END_H

#ifndef LAGOONHITCH_NET_CONNECTION_CUT_H
#define LAGOONHITCH_NET_CONNECTION_CUT_H

/// \file
/// A connection that a server ended while its client awaited a response.

#include "core/clock.h"
#include "net/connection_end.h"

#include <cstddef>

namespace lagoonhitch {

/// A connection that a server decided to close although requests on it had no
/// complete response.
struct ConnectionCut {
  ConnectionEnd Cause_ = ConnectionEnd::Closed;
  /// Requests that were passed to the handler and have no response yet.
  std::size_t OpenRequests_ = 0;
  /// Responses that were not written completely.
  std::size_t UnsentResponses_ = 0;
  /// Bytes that were received and not handled.
  std::size_t UnhandledBytes_ = 0;
  /// Time since the connection was last waiting for a request; zero if it never
  /// was.
  Duration SinceIdle_{};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_CONNECTION_CUT_H

#ifndef LAGOONHITCH_NET_REQUEST_REJECTION_H
#define LAGOONHITCH_NET_REQUEST_REJECTION_H

/// \file
/// The responses to requests that a server rejects before it handles them.

#include "net/http_message.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lagoonhitch {

/// Why a server rejects a request, or closes a connection, before the request
/// is handled.
enum class RequestRejection {
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  /// The request was not received completely in time.
  Late,
  /// The body does not fit into the memory budget.
  NoMemory,
  /// The connection was closed because there were too many.
  TooManyConnections,
  /// The response was not read, and its memory was needed.
  ResponseNotRead,
};

inline constexpr std::size_t RequestRejectionCount = 7;

/// Returns the name of a rejection in metrics.
const char *rejectionName(RequestRejection Reason);

/// Numbers of rejections since the start of a process, by reason.
using RejectionCounts = std::array<std::uint64_t, RequestRejectionCount>;

/// When a request that did not fit into the memory may be sent again. Bodies
/// are received and run within a few hundred milliseconds.
inline constexpr std::chrono::milliseconds MemoryRetryAfter{250};

/// Returns the response to a rejected request. It states that the request has
/// not run.
HttpResponse rejectionResponse(RequestRejection Reason);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_REQUEST_REJECTION_H

#ifndef LAGOONHITCH_NET_HTTP_RESULT_H
#define LAGOONHITCH_NET_HTTP_RESULT_H

/// \file
/// The result of an HTTP call.

#include "core/clock.h"
#include "net/http_message.h"

namespace lagoonhitch {

/// How an HTTP call ended; not the status code of its response.
enum class HttpCallStatus {
  /// The complete response was received.
  Completed,
  /// No byte of the request was sent.
  NotSent,
  /// The connection failed after sending started, or the response was not this
  /// request's.
  ConnectionLost,
  /// No complete response was received in time after sending started.
  TimedOut,
};

/// The result of an HTTP call. Response_ is set if Status_ is Completed.
struct HttpResult {
  HttpCallStatus Status_ = HttpCallStatus::NotSent;
  HttpResponse Response_;
  /// Whether the connection was refused: no process listens on the address. The
  /// process that did may still run.
  bool ConnectionRefused_ = false;
  /// Time from the first received byte of the response to its end.
  Duration ReceivingTime_{};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_RESULT_H

#ifndef LAGOONHITCH_NET_HTTP_RESULT_H
#define LAGOONHITCH_NET_HTTP_RESULT_H

/// \file
/// How an HTTP call ended.

#include "net/http_message.h"

namespace lagoonhitch {

/// How an HTTP call ended.
enum class HttpCallStatus {
  /// The whole response was received.
  Completed,
  /// No byte of the request has left this process.
  NotSent,
  /// The connection broke after the request was sent.
  ConnectionLost,
  /// No whole response came in time after the request was sent.
  TimedOut,
};

/// The end of an HTTP call; the response is set if it was answered.
struct HttpResult {
  HttpCallStatus Status_ = HttpCallStatus::NotSent;
  HttpResponse Response_;
  /// Whether the address refused the connection, so that nobody listens.
  bool ConnectionRefused_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_RESULT_H

#ifndef LAGOONHITCH_NET_HTTP_RESULT_H
#define LAGOONHITCH_NET_HTTP_RESULT_H

/// \file
/// How an HTTP call ended.

#include "net/http_message.h"

namespace lagoonhitch {

/// How an HTTP call ended.
enum class HttpStatus {
  /// The whole response was received.
  Answered,
  /// No byte of the request has left this process.
  NotSent,
  /// The connection broke after the request was sent.
  Broken,
  /// No whole response came in time after the request was sent.
  TimedOut,
};

/// The end of an HTTP call; the response is set if it was answered.
struct HttpResult {
  HttpStatus Status_ = HttpStatus::NotSent;
  HttpResponse Response_;
  /// Whether the address refused the connection, so that nobody listens.
  bool Refused_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_RESULT_H

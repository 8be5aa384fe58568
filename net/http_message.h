#ifndef LAGOONHITCH_NET_HTTP_MESSAGE_H
#define LAGOONHITCH_NET_HTTP_MESSAGE_H

/// \file
/// HTTP messages as plain structs, independent of the HTTP library.

#include "net/message_body.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// One header field.
struct HttpHeader {
  std::string Name_;
  std::string Value_;
};

/// A request with its complete body.
struct HttpRequest {
  std::string Method_ = "GET";
  /// Path and query.
  std::string Target_ = "/";
  std::vector<HttpHeader> Headers_;
  MessageBody Body_;
};

/// A response with its complete body.
struct HttpResponse {
  unsigned Status_ = 200;
  std::vector<HttpHeader> Headers_;
  std::string Body_;
};

/// Returns the value of the first header with a name, or nullptr if there is
/// none. Names are case-insensitive.
const std::string *findHeader(const std::vector<HttpHeader> &Headers,
                              const std::string &Name);

/// Removes all headers with a name. Names are case-insensitive.
void eraseHeader(std::vector<HttpHeader> &Headers, const std::string &Name);

/// Returns whether a header applies to a single connection and must not be
/// forwarded (RFC 9110, section 7.6.1). `Content-Length` and `Host` are
/// included: they are set when the message is sent.
bool isHopByHop(const std::string &Name);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_MESSAGE_H

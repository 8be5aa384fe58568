#ifndef LAGOONHITCH_NET_HTTP_MESSAGE_H
#define LAGOONHITCH_NET_HTTP_MESSAGE_H

/// \file
/// HTTP messages as plain data, free of any library's types.

#include <string>
#include <vector>

namespace lagoonhitch {

/// One header field.
struct HttpHeader {
  std::string Name_;
  std::string Value_;
};

/// A request with its whole body.
struct HttpRequest {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  std::vector<HttpHeader> Headers_;
  std::string Body_;
};

/// A response with its whole body.
struct HttpResponse {
  unsigned Status_ = 200;
  std::vector<HttpHeader> Headers_;
  std::string Body_;
};

/// Returns the value of the first header of that name, compared without
/// case, or nullptr.
const std::string *findHeader(const std::vector<HttpHeader> &Headers,
                              const std::string &Name);

/// Removes all headers of that name, compared without case.
void eraseHeader(std::vector<HttpHeader> &Headers, const std::string &Name);

/// Returns whether a header belongs to one connection only and must not be
/// passed on (RFC 9110, section 7.6.1).
bool isHopByHop(const std::string &Name);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_MESSAGE_H

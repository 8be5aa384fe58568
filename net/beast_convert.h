#ifndef LAGOONHITCH_NET_BEAST_CONVERT_H
#define LAGOONHITCH_NET_BEAST_CONVERT_H

/// \file
/// Conversions between HttpRequest or HttpResponse and the messages of
/// Boost.Beast. Included only by the implementation files of net.

#include "net/http_message.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <utility>

namespace lagoonhitch {

/// Copies all header fields of a Beast message.
template <typename Fields>
std::vector<HttpHeader> headersFromBeast(const Fields &Source) {
  std::vector<HttpHeader> Headers;
  for (const typename Fields::value_type &Field : Source)
    Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Headers;
}

/// Adds header fields to a Beast message, except hop-by-hop ones.
template <typename Message>
void headersToBeast(const std::vector<HttpHeader> &Headers, Message &Target) {
  for (const HttpHeader &Header : Headers)
    if (!isHopByHop(Header.Name_))
      Target.insert(Header.Name_, Header.Value_);
}

/// Converts a Beast request. Its body counts in the budget while it exists.
inline HttpRequest requestFromBeast(
    boost::beast::http::request<boost::beast::http::string_body> Source,
    std::shared_ptr<MemoryBudget> Budget) {
  HttpRequest Request;
  Request.Method_ = std::string(Source.method_string());
  Request.Target_ = std::string(Source.target());
  Request.Headers_ = headersFromBeast(Source.base());
  Request.Body_ = MessageBody(std::move(Source.body()), std::move(Budget));
  return Request;
}

/// Converts a Beast response.
inline HttpResponse responseFromBeast(
    boost::beast::http::response<boost::beast::http::string_body> Source) {
  HttpResponse Response;
  Response.Status_ = Source.result_int();
  Response.Headers_ = headersFromBeast(Source.base());
  Response.Body_ = std::move(Source.body());
  return Response;
}

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_BEAST_CONVERT_H

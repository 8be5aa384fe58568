#ifndef LAGOONHITCH_NET_REQUEST_READER_H
#define LAGOONHITCH_NET_REQUEST_READER_H

/// \file
/// Reads one HTTP request from a connection, within limits. Included only by
/// the implementation files of net.

#include "net/http_message.h"
#include "net/request_rejection.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <memory>
#include <string_view>

namespace lagoonhitch {

/// Limits of one request.
struct RequestLimits {
  /// Maximum size of the request line and headers.
  std::size_t MaxHeaderBytes_ = 0;
  /// Maximum size of the body.
  std::size_t MaxBodyBytes_ = 0;
};

/// Parses the bytes of a connection up to the end of one request. Does no I/O
/// itself.
class RequestReader {
public:
  enum class Progress {
    Incomplete,
    /// The header is complete, and a body follows.
    Header,
    Complete,
    Rejected,
  };

  explicit RequestReader(RequestLimits Limits);

  /// Parses received bytes and removes them from the buffer. Stops behind the
  /// header once.
  Progress parse(boost::beast::flat_buffer &Buffer);

  /// Handles the end of the connection's bytes.
  /// \returns whether a part of a request was received.
  bool onEndOfStream() const { return Parser_.got_some(); }

  /// Returns the size that the body needs in memory when more bytes arrive.
  std::size_t bodyBytes(std::size_t Arriving) const;

  /// Returns how much of the body may still arrive.
  std::size_t bodyBytesLeft() const;

  /// Returns whether the header is complete and has a field whose value starts
  /// with a text.
  bool hasHeader(std::string_view Name, std::string_view ValuePrefix) const;

  /// Returns why parse() has rejected the request.
  RequestRejection rejection() const { return Rejection_; }

  /// Returns whether a complete request leaves the connection open.
  bool keepsAlive() const { return Parser_.keep_alive(); }

  /// Returns the complete request. Its body counts in the budget.
  HttpRequest release(std::shared_ptr<MemoryBudget> Budget);

private:
  Progress reject(RequestRejection Reason);
  bool hasAmbiguousFraming() const;
  void reserveChunkedBody();

  RequestLimits Limits_;
  boost::beast::http::request_parser<boost::beast::http::string_body> Parser_;
  RequestRejection Rejection_ = RequestRejection::Malformed;
  bool HeaderReported_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_REQUEST_READER_H

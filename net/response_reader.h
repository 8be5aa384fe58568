#ifndef LAGOONHITCH_NET_RESPONSE_READER_H
#define LAGOONHITCH_NET_RESPONSE_READER_H

/// \file
/// Reads one HTTP response from a connection, within limits. Included only by
/// the implementation files of net.

#include "net/http_message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonhitch {

/// Limits of one response.
struct ResponseLimits {
  /// Maximum size of the status line and headers. Also limits each chunk header
  /// and the trailers.
  std::size_t MaxHeaderBytes_ = 0;
  /// Maximum size of the body.
  std::size_t MaxBodyBytes_ = 0;
};

/// Parses the bytes of a connection up to the end of the final response to one
/// request. Interim responses are skipped, and other ones on request. Does no
/// I/O itself.
class ResponseReader {
public:
  enum class Progress {
    Incomplete,
    Complete,
    /// The bytes are no response, or exceed a limit.
    Failed,
  };

  /// Size of the prepared buffer. A read that doesn't fill it has taken all
  /// that had arrived.
  static constexpr std::size_t ReadChunkBytes = 8192;

  /// \param ToHead whether the request's method is HEAD, so that the response
  /// has no body.
  ResponseReader(ResponseLimits Limits, bool ToHead);

  /// Returns where the next received bytes are to be stored.
  boost::asio::mutable_buffer prepare() {
    return Buffer_.prepare(ReadChunkBytes);
  }

  /// Parses bytes that were stored in the prepared buffer.
  Progress onReceived(std::size_t Size);

  /// Handles the end of the connection's bytes. It completes only a response
  /// that has neither a length nor chunks.
  Progress onEndOfStream();

  /// Returns the size of the incomplete response in memory.
  std::size_t bytes() const;

  /// Returns how much the incomplete response in memory may still grow.
  std::size_t maxBytesLeft() const;

  /// Returns the size of the responses that were skipped.
  std::size_t skippedBytes() const { return SkippedBytes_; }

  /// Returns the status of a complete response.
  unsigned status() const { return Parser_->get().result_int(); }

  /// Returns the value of a header of a complete response; empty if it has no
  /// such header, or several.
  std::string_view uniqueHeader(const std::string &Name) const;

  /// Returns whether a complete response states where it ends, so that it does
  /// not end with the connection.
  bool statesItsEnd() const { return !Parser_->need_eof(); }

  /// Returns whether bytes were received that belong to a later response than
  /// the complete one.
  bool hasLaterBytes() const { return Buffer_.size() > 0; }

  /// Discards a complete response that states its end, and parses what was
  /// received of the next one. The limits of a body hold for both together.
  Progress skipResponse();

  /// Returns whether the connection of a complete response can be reused. Bytes
  /// after the response belong to no request.
  bool allowsReuse() const { return Parser_->keep_alive() && !hasLaterBytes(); }

  /// Returns the complete response.
  HttpResponse release();

  /// Frees the memory of an incomplete response. The prepared buffer stays
  /// valid.
  void discard() { Parser_.reset(); }

private:
  /// Bytes received for each byte of a body; more than one because of chunk
  /// headers.
  static constexpr std::size_t MaxBytesPerBodyByte = 2;

  void startResponse();
  std::string_view unparsed() const;
  bool parse();
  bool exceedsLimits() const;

  ResponseLimits Limits_;
  bool ToHead_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      Parser_;
  /// Received bytes that are not parsed yet.
  boost::beast::flat_buffer Buffer_;
  std::size_t ReceivedBytes_ = 0;
  /// Number of received bytes up to the end of the latest response that was
  /// skipped on request.
  std::size_t StartOffset_ = 0;
  /// Size of what was parsed of the current response.
  std::size_t ParsedBytes_ = 0;
  std::size_t SkippedBytes_ = 0;
  /// Whether the status line of the response is parsed.
  bool StartParsed_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_RESPONSE_READER_H

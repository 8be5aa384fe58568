#include "net/request_reader.h"

#include "net/beast_convert.h"

#include <algorithm>
#include <utility>

namespace http = boost::beast::http;
using boost::beast::error_code;

namespace lagoonhitch {

namespace {

/// Maximum size of bytes that are not parsed: a chunk header or trailers, for
/// which the parser has no limit.
constexpr std::size_t MaxUnparsedBytes = std::size_t{64} * 1024;
/// Size from which a chunked body has address space for the largest one. A
/// body that grew by doubling would be in memory twice.
constexpr std::size_t ReservingBytes = std::size_t{1024} * 1024;

RequestRejection rejectionOf(const error_code &Failure) {
  if (Failure == http::error::header_limit ||
      Failure == http::error::buffer_overflow)
    return RequestRejection::HeaderTooLarge;
  if (Failure == http::error::body_limit)
    return RequestRejection::BodyTooLarge;
  return RequestRejection::Malformed;
}

} // namespace

RequestReader::RequestReader(RequestLimits Limits) : Limits_(Limits) {
  Parser_.header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes_));
  Parser_.body_limit(Limits.MaxBodyBytes_);
}

/// The parser is eager only behind the header: in one step with it, it discards
/// the error of an announced body over the limit.
RequestReader::Progress
RequestReader::parse(boost::beast::flat_buffer &Buffer) {
  error_code Failure;
  while (!Failure && Buffer.size() > 0 && !Parser_.is_done()) {
    Buffer.consume(Parser_.put(Buffer.data(), Failure));
    if (Failure && Failure != http::error::need_more)
      return reject(rejectionOf(Failure));
    if (!HeaderReported_ && Parser_.is_header_done()) {
      HeaderReported_ = true;
      Parser_.eager(true);
      if (hasAmbiguousFraming())
        return reject(RequestRejection::Malformed);
      if (!Parser_.is_done())
        return Progress::Header;
    }
    reserveChunkedBody();
  }
  if (Parser_.is_done())
    return Progress::Complete;
  return Buffer.size() > MaxUnparsedBytes
             ? reject(RequestRejection::HeaderTooLarge)
             : Progress::Incomplete;
}

RequestReader::Progress RequestReader::reject(RequestRejection Reason) {
  Rejection_ = Reason;
  return Progress::Rejected;
}

/// Returns whether the request's length is ambiguous: repeated length
/// headers, or a length together with chunked encoding, allow request
/// smuggling.
bool RequestReader::hasAmbiguousFraming() const {
  const http::fields &Fields = Parser_.get().base();
  const std::size_t Lengths = Fields.count(http::field::content_length);
  const std::size_t Codings = Fields.count(http::field::transfer_encoding);
  return Lengths > 1 || Codings > 1 || (Lengths > 0 && Codings > 0);
}

/// Pages of the address space that are not written use no memory.
void RequestReader::reserveChunkedBody() {
  std::string &Body = Parser_.get().body();
  if (Body.size() >= ReservingBytes && Body.capacity() < Limits_.MaxBodyBytes_)
    Body.reserve(Limits_.MaxBodyBytes_);
}

std::size_t RequestReader::bodyBytes(std::size_t Arriving) const {
  if (!Parser_.is_header_done())
    return 0;
  const std::size_t Received = Parser_.get().body().size();
  if (const auto Left = Parser_.content_length_remaining())
    return Received + static_cast<std::size_t>(*Left);
  return std::min(Received + Arriving, Limits_.MaxBodyBytes_);
}

std::size_t RequestReader::bodyBytesLeft() const {
  if (!Parser_.is_header_done())
    return 0;
  if (const auto Left = Parser_.content_length_remaining())
    return static_cast<std::size_t>(*Left);
  const std::size_t Received = Parser_.get().body().size();
  return Limits_.MaxBodyBytes_ - std::min(Limits_.MaxBodyBytes_, Received);
}

HttpRequest RequestReader::release(std::shared_ptr<MemoryBudget> Budget) {
  return requestFromBeast(Parser_.release(), std::move(Budget));
}

bool RequestReader::hasHeader(std::string_view Name,
                              std::string_view ValuePrefix) const {
  if (!HeaderReported_)
    return false;
  const auto Found = Parser_.get().find({Name.data(), Name.size()});
  if (Found == Parser_.get().end())
    return false;
  const auto Value = Found->value();
  return std::string_view(Value.data(), Value.size()).starts_with(ValuePrefix);
}

} // namespace lagoonhitch

#include "net/response_reader.h"

#include "net/beast_convert.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <iterator>

namespace http = boost::beast::http;
using boost::beast::error_code;

namespace lagoonhitch {

namespace {

/// Returns whether bytes can be the start of a response.
bool canStartResponse(std::string_view Bytes) {
  constexpr std::string_view Version = "HTTP/1.";
  return Bytes.substr(0, Version.size()) == Version.substr(0, Bytes.size());
}

/// Returns whether HTTP defines the class of the response's status (RFC 9110,
/// section 15). The parser takes any three digits.
bool hasDefinedStatus(const http::response<http::string_body> &Response) {
  return http::to_status_class(Response.result_int()) !=
         http::status_class::unknown;
}

/// Returns whether a final response follows this one.
bool isInterim(const http::response<http::string_body> &Response) {
  return http::to_status_class(Response.result_int()) ==
             http::status_class::informational &&
         Response.result() != http::status::switching_protocols;
}

/// Returns whether the body's transfer codings are known: none, or just
/// chunks. The parser takes a body of other codings for one that ends with the
/// connection, or ignores them.
bool hasKnownCodings(const http::response<http::string_body> &Response) {
  const auto Codings = Response.equal_range(http::field::transfer_encoding);
  return std::all_of(Codings.first, Codings.second, [](const auto &Coding) {
    return boost::beast::iequals(Coding.value(), "chunked");
  });
}

} // namespace

ResponseReader::ResponseReader(ResponseLimits Limits, bool ToHead)
    : Limits_(Limits), ToHead_(ToHead) {
  startResponse();
}

void ResponseReader::startResponse() {
  StartParsed_ = false;
  ParsedBytes_ = 0;
  Parser_.emplace();
  Parser_->skip(ToHead_);
  Parser_->header_limit(static_cast<std::uint32_t>(Limits_.MaxHeaderBytes_));
  Parser_->body_limit(Limits_.MaxBodyBytes_);
}

std::string_view ResponseReader::unparsed() const {
  return {static_cast<const char *>(Buffer_.data().data()), Buffer_.size()};
}

ResponseReader::Progress ResponseReader::onReceived(std::size_t Size) {
  Buffer_.commit(Size);
  ReceivedBytes_ += Size;
  if (!parse())
    return Progress::Failed;
  if (Parser_->is_done())
    return Progress::Complete;
  return exceedsLimits() ? Progress::Failed : Progress::Incomplete;
}

ResponseReader::Progress ResponseReader::skipResponse() {
  SkippedBytes_ += ParsedBytes_;
  StartOffset_ = ReceivedBytes_ - Buffer_.size();
  startResponse();
  return onReceived(0);
}

std::string_view ResponseReader::uniqueHeader(const std::string &Name) const {
  const auto [First, End] = Parser_->get().equal_range(Name);
  if (First == End || std::next(First) != End)
    return {};
  return {First->value().data(), First->value().size()};
}

ResponseReader::Progress ResponseReader::onEndOfStream() {
  if (!Parser_->got_some())
    return Progress::Failed;
  error_code Failure;
  Parser_->put_eof(Failure);
  return Failure ? Progress::Failed : Progress::Complete;
}

/// Parses the received bytes. Returns false if they are no response.
///
/// The parser is not eager, so it returns after each part of the response: an
/// eager one discards the error of a header that announces a body over the
/// limit, and reserves memory for that body. It does not look at an incomplete
/// status line again before the header is complete, so bytes that are no
/// response are recognised here.
bool ResponseReader::parse() {
  error_code Failure;
  while (!Failure && Buffer_.size() > 0 && !Parser_->is_done()) {
    if (!StartParsed_ && !canStartResponse(unparsed()))
      return false;
    const std::size_t Parsed = Parser_->put(Buffer_.data(), Failure);
    StartParsed_ = StartParsed_ || Parsed > 0;
    ParsedBytes_ += Parsed;
    Buffer_.consume(Parsed);
    const bool IsInvalid =
        Parser_->is_header_done() &&
        !(hasDefinedStatus(Parser_->get()) && hasKnownCodings(Parser_->get()));
    if (IsInvalid)
      return false;
    if (Parser_->is_done() && isInterim(Parser_->get())) {
      SkippedBytes_ += ParsedBytes_;
      startResponse();
    }
  }
  return !Failure || Failure == http::error::need_more;
}

/// Returns whether more bytes were received than the incomplete response may
/// have. The parser limits neither chunk headers nor trailers.
bool ResponseReader::exceedsLimits() const {
  const bool HeaderTooLarge =
      !Parser_->is_header_done() &&
      ReceivedBytes_ - StartOffset_ > Limits_.MaxHeaderBytes_;
  return HeaderTooLarge || Buffer_.size() > Limits_.MaxHeaderBytes_ ||
         ReceivedBytes_ > Limits_.MaxHeaderBytes_ +
                              MaxBytesPerBodyByte * Limits_.MaxBodyBytes_;
}

std::size_t ResponseReader::bytes() const {
  return Parser_->get().body().size() + Buffer_.size();
}

std::size_t ResponseReader::maxBytesLeft() const {
  const bool IsLengthKnown = Parser_->is_header_done() &&
                             Parser_->content_length_remaining().has_value();
  const std::size_t End =
      IsLengthKnown
          ? Parser_->get().body().size() +
                static_cast<std::size_t>(*Parser_->content_length_remaining())
          : Limits_.MaxBodyBytes_;
  return End - std::min(End, bytes());
}

HttpResponse ResponseReader::release() {
  return responseFromBeast(Parser_->release());
}

} // namespace lagoonhitch

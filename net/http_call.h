#ifndef LAGOONHITCH_NET_HTTP_CALL_H
#define LAGOONHITCH_NET_HTTP_CALL_H

/// \file
/// One call of an HTTP client. Internal to net/.

#include "net/connection_pool.h"
#include "net/http_client.h"
#include "net/output_monitor.h"
#include "net/receiving_limit.h"
#include "net/response_reader.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace lagoonhitch {

/// One call in progress. Keeps itself alive while an operation is pending.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
public:
  HttpCall(std::shared_ptr<HttpClient::Impl> Client, std::string Address,
           HttpRequest Request, HttpCallOptions Options,
           HttpClient::Callback Done);

  ~HttpCall();
  HttpCall(const HttpCall &) = delete;
  HttpCall &operator=(const HttpCall &) = delete;

  /// Sends the request over an idle connection or a new one.
  void start();

  /// Closes the connection. The callback is not called.
  void cancel();

  /// See HttpClient::receivedBytes().
  std::size_t receivedBytes() const;

private:
  bool reuseIdleConnection();

  void connect(ConnectionPool &Target);

  void write();

  /// Fails the call if the peer no longer acknowledges the request.
  void watchOutput();

  /// A response may have arrived that is not read yet, so the pending read ends
  /// the call if a part of the request was sent.
  void onWriteFailed(boost::beast::error_code Failure, std::size_t Size);

  void readSome();

  /// Handles what was read, and reads what else has arrived. A turn of the loop
  /// for each chunk would make a large response late while the loop is busy.
  void onReceived(boost::beast::error_code Failure, std::size_t Size);

  bool mayReadOn() const;

  void readOnOrPause();

  /// Stops reading until others have ended or the call times out.
  void pause();

  /// Returns the time until the call fails if nothing more arrives.
  Duration timeLeft() const;

  /// Gives a response that is arriving more time if the options allow it.
  void extendTimeout();

  /// Reads without waiting. Returns false if nothing has arrived.
  bool readArrived(boost::beast::error_code &Failure, std::size_t &Size);

  /// Handles what was read. Returns whether the response is incomplete; if not,
  /// the call has ended.
  bool handleReceived(boost::beast::error_code Failure, std::size_t Size);

  /// Returns whether the complete response is an extra one to an earlier
  /// request, so that the peer may still be at work on this one. It can be
  /// skipped only if it is certain where it ends.
  bool isExtraResponse() const;

  ResponseReader::Progress skipResponse();

  void setReceivingBytes(std::size_t Bytes, std::size_t Left);

  void discardResponse();

  void finishCompleted();

  /// Remembers on the connection that the request may be sent again.
  void noteFailure(const HttpResponse &Response);

  /// Returns whether the response belongs to this request. A late or duplicate
  /// response on a reused connection belongs to an earlier one, also if it was
  /// not skipped. A change of protocol is never requested.
  bool matchesRequest(const HttpResponse &Response) const;

  /// Returns false if the response claims success but lacks the header that
  /// proves it. Its head may have been cut.
  bool isWholeSuccess(const HttpResponse &Response) const;

  void finishFailed(boost::beast::error_code Failure, std::size_t BytesSent);

  void finish(HttpCallStatus Status);

  void finishLater(HttpCallStatus Status);

  void deliver(HttpResult Result);

  void closeConnection();

  std::shared_ptr<HttpClient::Impl> Client_;
  std::string Address_;
  HttpCallOptions Options_;
  HttpClient::Callback Done_;
  MessageBody Body_;
  /// Refers to Body_.
  boost::beast::http::request<boost::beast::http::span_body<const char>>
      Message_;
  /// Set once sending has started. An aborted operation refers to its buffer.
  std::optional<ResponseReader> Reader_;
  IncompleteResponse Received_;
  /// Ends the call if it times out while reading is paused.
  boost::asio::steady_timer PauseTimer_;
  /// When the call fails if the response is not arriving.
  Instant TimeoutAt_;
  std::optional<Instant> FirstByteAt_;
  std::unique_ptr<ClientConnection> Connection_;
  std::unique_ptr<ClientConnection> ClosedConnection_;
  /// The request, until its response has arrived.
  MonitoredOutput Written_;
  /// The value that the echoed header must have; empty if the request has no
  /// such header.
  std::string ExpectedEcho_;
  std::size_t SkippedResponses_ = 0;
  bool RequestWritten_ = false;
  bool WriteFailed_ = false;
  bool ConnectionRefused_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_CALL_H

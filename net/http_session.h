#ifndef LAGOONHITCH_NET_HTTP_SESSION_H
#define LAGOONHITCH_NET_HTTP_SESSION_H

/// \file
/// One connection to an HTTP server. Internal to net/.

#include "net/http_server_state.h"
#include "net/memory_budget.h"
#include "net/output_monitor.h"
#include "net/request_reader.h"
#include "net/request_rejection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace lagoonhitch {

/// One accepted connection. Keeps itself alive while an operation is pending.
///
/// A client may send further requests before the first is answered
/// (pipelining). Requests are handled at the same time as far as the server's
/// overlap rule allows, and answered in their order. The response that closes
/// the connection is always the one to the last request that was handled:
/// clients may send the requests behind it again.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(boost::asio::ip::tcp::socket Socket,
              std::shared_ptr<HttpServer::Impl> Server);
  ~HttpSession();
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  /// Starts to read requests. Does nothing if the client has left already.
  /// \returns whether the client is still there.
  bool start();

  /// Responds to a request. Does nothing if it has a response already or its
  /// client is gone.
  void respond(std::uint64_t Number, HttpResponse Response);

  /// Sends an interim response to a request if it is the next to be answered.
  void reportProgress(std::uint64_t Number);

  /// Sets the callback that is called if the client closes the connection
  /// before the request has a response.
  void setOnAbandoned(std::uint64_t Number,
                      HttpExchange::AbandonCallback Callback);

  /// Closes the connection if it waits for another request. A request that was
  /// already read, or that arrives meanwhile, is still served: closing the
  /// connection would lose it. The client of a connection without a request is
  /// about to send its first one, so that stays open, too.
  void closeIfIdle();

  /// Returns whether something has arrived that was not read yet.
  bool hasInput();

  /// Returns since when the connection has waited for a request; std::nullopt
  /// if it does not wait for one.
  std::optional<Instant> idleSince() const {
    return Idle_ && Pending_.empty() ? std::optional<Instant>(IdleSince_)
                                     : std::nullopt;
  }

  /// Returns whether the body of a request with a header is being received, see
  /// HttpServer::isReceiving().
  bool isReceiving(const HttpHeader &Header, Duration MaxSilence);

  /// Closes the connection. The requests without a response are abandoned.
  void abandon(ConnectionEnd End);

private:
  /// A request that was passed to the handler and is not answered completely.
  struct PendingExchange {
    std::uint64_t Number_ = 0;
    /// Whether requests behind this one may be handled before it is answered.
    bool Overlappable_ = false;
    HttpExchange::AbandonCallback OnAbandoned_;
    std::optional<HttpResponse> Response_;
  };

  /// What a socket holds.
  enum class InputState {
    Data,
    None,
    /// The client has closed the connection, and all its data was read.
    Ended,
    /// The connection was reset or timed out.
    Broken,
  };

  PendingExchange *findPending(std::uint64_t Number);
  bool canRead() const;
  void readNext();
  void setIdleTimer();
  void onIdleTimeout();
  void awaitInput();
  void readInput(boost::beast::error_code Failure);
  void startReader();
  void onInput(const boost::beast::error_code &Failure, std::size_t Size);
  void readOn();
  std::size_t nextReadBytes() const;
  void setRequestTimer(Duration MaxTime);
  bool isRequestLate() const;
  void onRequestTimeout();
  std::size_t unreadBytes();
  bool reserveInput();
  void endInput();
  void onRequest();
  void onReadFailed(const boost::beast::error_code &Failure);
  void rejectRequest(RequestRejection Reason);
  bool mustWait() const;
  void startWaitingRequest();
  void startExchange(HttpRequest Request);
  std::uint64_t addPending(bool Overlappable);
  void writeNext();
  void write(HttpResponse Source, bool KeepAlive);
  void writePart(bool KeepAlive);
  void onPeerGone();
  void onWindowClosed();
  void letOutputGiveWay();
  void countOutput();
  void endOutput();
  void onWritten(const boost::beast::error_code &Failure, bool KeepAlive);
  void onProgressWritten(const boost::beast::error_code &Failure);
  void readAhead();
  void watchForInput();
  void onReadable(const boost::beast::error_code &Failure);
  InputState peekInput();
  void readArrived();
  void closeAfterResponse();
  void startDiscarding();
  void awaitDelivery();
  bool isOutputDelivered();
  void discardInput();
  bool isClientGone();
  void reportCut(ConnectionEnd End);
  void close();

  boost::beast::tcp_stream Stream_;
  std::shared_ptr<HttpServer::Impl> Server_;
  boost::beast::flat_buffer Buffer_;
  /// Ends the wait for a request, the reading of an incomplete one, or the
  /// discarding of input.
  boost::asio::steady_timer ReadTimer_;
  bool RequestTimerSet_ = false;
  /// Once the time for a request is over: how much of it had arrived by then
  /// and is still to be read, in bytes.
  std::optional<std::size_t> ArrivedInTime_;
  /// The request of which at least one byte was read.
  std::optional<RequestReader> Reader_;
  /// When bytes of a request were last received.
  Instant LastInputAt_;
  /// The request that is being read.
  BudgetEntry Input_;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>>
      Response_;
  /// Set while a large response is being sent.
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::string_body>>
      Serializer_;
  /// The responses that are not sent completely.
  BudgetEntry Output_;
  std::size_t SendingBytes_ = 0;
  /// What was written to the connection and may not be delivered.
  MonitoredOutput Written_;
  /// Requests without a complete response, in the order of their arrival.
  std::deque<PendingExchange> Pending_;
  /// The size of the responses in Pending_ that wait for an earlier one, in
  /// bytes.
  std::size_t WaitingBytes_ = 0;
  /// A request that must wait until the ones before it are answered.
  std::optional<HttpRequest> WaitingRequest_;
  std::uint64_t LastNumber_ = 0;
  bool Reading_ = false;
  bool Writing_ = false;
  bool Watching_ = false;
  /// Whether no byte of a request has been received since the last one.
  bool Idle_ = false;
  Instant IdleSince_;
  /// Whether the client has sent a request before the one before it was
  /// answered.
  bool Pipelined_ = false;
  /// Whether no further request is handled: the response to the last one in
  /// Pending_ closes the connection.
  bool LastRequestRead_ = false;
  /// Whether the rest of a rejected request may still arrive.
  bool InputLeft_ = false;
  /// Whether the last response is sent and further input is discarded.
  bool Discarding_ = false;
  std::size_t DiscardedBytes_ = 0;
  /// When the connection is closed, whatever is not delivered.
  Instant DiscardEnd_;
  bool Closed_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_SESSION_H

#include "net/http_client.h"

#include "core/error.h"
#include "net/address.h"
#include "net/beast_convert.h"
#include "net/connection_pool.h"
#include "net/io_loop_impl.h"
#include "net/output_monitor.h"
#include "net/receiving_limit.h"
#include "net/response_reader.h"
#include "net/socket_options.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace lagoonhitch {

namespace {

constexpr unsigned SwitchingProtocols = 101;
/// Maximum size of what one call reads in one turn of the loop, so that a large
/// response does not delay other tasks for long.
constexpr std::size_t MaxTurnBytes = std::size_t{256} * 1024;
/// Requests without success that a connection remembers.
constexpr std::size_t MaxFailedRequests = 32;
constexpr unsigned FirstClientError = 400;
/// Extra responses to other requests that a call skips.
constexpr std::size_t MaxSkippedResponses = 3;

} // namespace

struct HttpClient::Impl {
  Impl(IoLoop &Loop, const Clock &Time, HttpClientOptions Options)
      : Context_(Loop.impl().Context_), Outputs_(Loop.impl().Outputs_),
        Time_(Time), Options_(Options),
        Receiving_(Options.MaxReceivingBytes_, Options.SmallResponseBytes_) {}

  ConnectionPool &pool(const std::string &Address) {
    return poolOf(Pools_, Address, Options_);
  }

  boost::asio::io_context &Context_;
  std::shared_ptr<OutputMonitor> Outputs_;
  const Clock &Time_;
  HttpClientOptions Options_;
  ConnectionPools Pools_;
  ReceivingLimit Receiving_;
};

namespace {

/// One call in progress. Keeps itself alive while an operation is pending.
class Call : public std::enable_shared_from_this<Call> {
public:
  Call(std::shared_ptr<HttpClient::Impl> Client, std::string Address,
       HttpRequest Request, HttpCallOptions Options, HttpClient::Callback Done)
      : Client_(std::move(Client)), Address_(std::move(Address)),
        Options_(std::move(Options)), Done_(std::move(Done)),
        PauseTimer_(Client_->Context_) {
    Message_.version(11);
    Message_.method_string(Request.Method_);
    Message_.target(Request.Target_);
    const std::string *Host = findHeader(Request.Headers_, "Host");
    Message_.set(http::field::host, Host == nullptr ? Address_ : *Host);
    if (const std::string *Expected =
            findHeader(Request.Headers_, Options_.EchoHeader_))
      ExpectedEcho_ = *Expected;
    headersToBeast(Request.Headers_, Message_);
    Body_ = std::move(Request.Body_);
    Message_.body() = {Body_.text().data(), Body_.size()};
    Message_.keep_alive(true);
    Message_.prepare_payload();
  }

  ~Call() {
    closeConnection();
    setReceivingBytes(0, 0);
  }

  void start() {
    if (!Options_.RequireNewConnection_ && reuseIdleConnection()) {
      write();
      return;
    }
    ConnectionPool &Target = Client_->pool(Address_);
    makeRoom(Target);
    if (Target.Open_ >= Target.Limit_) {
      finishLater(HttpCallStatus::NotSent);
      return;
    }
    connect(Target);
  }

  void cancel() {
    Done_ = nullptr;
    closeConnection();
    discardResponse();
  }

  std::size_t receivedBytes() const {
    if (!Connection_ || !Reader_)
      return 0;
    error_code Failure;
    const std::size_t Unread = Connection_->Stream_.socket().available(Failure);
    return Reader_->bytes() + Reader_->skippedBytes() + (Failure ? 0 : Unread);
  }

private:
  bool reuseIdleConnection() {
    ConnectionChoice Choice;
    Choice.RequestId_ = ExpectedEcho_;
    Choice.MaxIdleTime_ = Options_.MaxIdleTime_ > Duration::zero()
                              ? Options_.MaxIdleTime_
                              : Client_->Options_.MaxIdleTime_;
    Choice.MaxAge_ = Client_->Options_.MaxConnectionAge_;
    Connection_ =
        takeIdle(Client_->pool(Address_), Choice, Client_->Time_.now());
    return Connection_ != nullptr;
  }

  void connect(ConnectionPool &Target) {
    tcp::endpoint Endpoint;
    try {
      Endpoint = parseEndpoint(Address_);
    } catch (const Error &) {
      finishLater(HttpCallStatus::NotSent);
      return;
    }
    ++Target.Open_;
    Connection_ = std::make_unique<ClientConnection>(Client_->Context_);
    Connection_->OpenedAt_ = Client_->Time_.now();
    Connection_->Stream_.expires_after(Client_->Options_.ConnectTimeout_);
    Connection_->Stream_.async_connect(
        Endpoint, [Self = shared_from_this()](error_code Failure) {
          if (!Self->Connection_)
            return;
          if (Failure) {
            Self->ConnectionRefused_ =
                Failure == boost::asio::error::connection_refused;
            Self->finish(HttpCallStatus::NotSent);
            return;
          }
          if (Self->Client_->Time_.now() > Self->Options_.SendBy_) {
            Self->finish(HttpCallStatus::NotSent);
            return;
          }
          configureSocket(Self->Connection_->Stream_.socket());
          Self->write();
        });
  }

  void write() {
    watchOutput();
    Connection_->Stream_.expires_after(Options_.Timeout_);
    TimeoutAt_ = Client_->Time_.now() + Options_.Timeout_;
    http::async_write(
        Connection_->Stream_, Message_,
        [Self = shared_from_this()](error_code Failure, std::size_t Size) {
          if (!Self->Connection_)
            return;
          if (Failure)
            Self->onWriteFailed(Failure, Size);
          else
            Self->RequestWritten_ = true;
        });
    // The response may arrive before the request is written completely.
    if (Connection_) {
      const bool IsHead = Message_.method() == http::verb::head;
      Connection_->CarriedHead_ = Connection_->CarriedHead_ || IsHead;
      Reader_.emplace(ResponseLimits{Client_->Options_.MaxHeaderBytes_,
                                     Client_->Options_.MaxBodyBytes_},
                      IsHead);
      readSome();
    }
  }

  /// Fails the call if the peer no longer acknowledges the request.
  void watchOutput() {
    Written_.Socket_ = Connection_->Stream_.socket().native_handle();
    Written_.OnPeerGone_ = [Weak = weak_from_this()] {
      const std::shared_ptr<Call> Self = Weak.lock();
      if (!Self || !Self->Connection_)
        return;
      discardOutput(Self->Connection_->Stream_.socket());
      Self->finishFailed(boost::asio::error::timed_out, 1);
    };
    Client_->Outputs_->onWritten(Written_);
  }

  /// A response may have arrived that is not read yet, so the pending read ends
  /// the call if a part of the request was sent.
  void onWriteFailed(error_code Failure, std::size_t Size) {
    const bool TimedOut = Failure == boost::beast::error::timeout;
    if (Size == 0 || TimedOut)
      finishFailed(Failure, Size);
    else
      WriteFailed_ = true;
  }

  void readSome() {
    Connection_->Stream_.async_read_some(
        Reader_->prepare(),
        [Self = shared_from_this()](error_code Failure, std::size_t Size) {
          if (Self->Connection_)
            Self->onReceived(Failure, Size);
        });
  }

  /// Handles what was read, and reads what else has arrived. A turn of the loop
  /// for each chunk would make a large response late while the loop is busy.
  void onReceived(error_code Failure, std::size_t Size) {
    std::size_t TurnBytes = Size;
    while (handleReceived(Failure, Size)) {
      const bool MayHaveMore = Size == ResponseReader::ReadChunkBytes;
      if (!MayHaveMore || TurnBytes >= MaxTurnBytes || !mayReadOn() ||
          !readArrived(Failure, Size)) {
        readOnOrPause();
        if (Options_.OnProgress_)
          Options_.OnProgress_();
        return;
      }
      TurnBytes += Size;
    }
  }

  bool mayReadOn() const { return Client_->Receiving_.mayReadOn(Received_); }

  void readOnOrPause() {
    if (!mayReadOn()) {
      pause();
      return;
    }
    extendTimeout();
    readSome();
  }

  /// Stops reading until others have ended or the call times out.
  void pause() {
    PauseTimer_.expires_after(timeLeft());
    PauseTimer_.async_wait([Self = shared_from_this()](error_code Failure) {
      if (!Failure && Self->Connection_ && Self->Received_.Resume_)
        Self->finish(HttpCallStatus::TimedOut);
    });
    Client_->Receiving_.pause(Received_, [this] {
      PauseTimer_.cancel();
      boost::asio::post(Client_->Context_, [Self = shared_from_this()] {
        if (!Self->Connection_)
          return;
        Self->extendTimeout();
        Self->readSome();
      });
    });
  }

  /// Returns the time until the call fails if nothing more arrives.
  Duration timeLeft() const {
    const Instant Now = Client_->Time_.now();
    if (Options_.MaxSilence_ == Duration::zero() || !FirstByteAt_)
      return TimeoutAt_ - Now;
    const Instant ReceivingEnd = *FirstByteAt_ + Options_.MaxReceivingTime_;
    const Instant SilenceEnd =
        std::min(Now + Options_.MaxSilence_, ReceivingEnd);
    return std::max(TimeoutAt_, SilenceEnd) - Now;
  }

  /// Gives a response that is arriving more time if the options allow it.
  void extendTimeout() {
    if (Options_.MaxSilence_ != Duration::zero() && FirstByteAt_)
      Connection_->Stream_.expires_after(timeLeft());
  }

  /// Reads without waiting. Returns false if nothing has arrived.
  bool readArrived(error_code &Failure, std::size_t &Size) {
    tcp::socket &Socket = Connection_->Stream_.socket();
    if (!Socket.non_blocking())
      Socket.non_blocking(true, Failure);
    if (!Failure)
      Size = Socket.read_some(Reader_->prepare(), Failure);
    return Failure != boost::asio::error::would_block;
  }

  /// Handles what was read. Returns whether the response is incomplete; if not,
  /// the call has ended.
  bool handleReceived(error_code Failure, std::size_t Size) {
    if (!FirstByteAt_)
      FirstByteAt_ = Client_->Time_.now();
    const bool Ended = Failure == boost::asio::error::eof;
    // If the connection was reset, the write has taken the error.
    const bool WasReset = Ended && WriteFailed_;
    if (WasReset || (Failure && !Ended)) {
      // Part of the request may have been sent already.
      finishFailed(Failure, 1);
      return false;
    }
    if (Ended)
      ++Client_->pool(Address_).Lost_;
    ResponseReader::Progress Progress =
        Ended ? Reader_->onEndOfStream() : Reader_->onReceived(Size);
    while (Progress == ResponseReader::Progress::Complete && isExtraResponse())
      Progress = skipResponse();
    switch (Progress) {
    case ResponseReader::Progress::Complete:
      finishCompleted();
      return false;
    case ResponseReader::Progress::Failed:
      finish(HttpCallStatus::ConnectionLost);
      return false;
    case ResponseReader::Progress::Incomplete:
      break;
    }
    setReceivingBytes(Reader_->bytes(), Reader_->maxBytesLeft());
    if (Client_->Receiving_.mustDrop(Received_)) {
      finish(HttpCallStatus::ConnectionLost);
      return false;
    }
    return true;
  }

  /// Returns whether the complete response is an extra one to an earlier
  /// request, so that the peer may still be at work on this one. It can be
  /// skipped only if it is certain where it ends.
  bool isExtraResponse() const {
    if (ExpectedEcho_.empty() || !Connection_->Reused_)
      return false;
    const std::string_view Echo = Reader_->uniqueHeader(Options_.EchoHeader_);
    return !Echo.empty() && Echo != ExpectedEcho_ &&
           Reader_->status() != SwitchingProtocols && Reader_->statesItsEnd() &&
           !Connection_->CarriedHead_ &&
           SkippedResponses_ < MaxSkippedResponses;
  }

  ResponseReader::Progress skipResponse() {
    ++SkippedResponses_;
    FirstByteAt_.reset();
    if (Reader_->hasLaterBytes())
      FirstByteAt_ = Client_->Time_.now();
    return Reader_->skipResponse();
  }

  void setReceivingBytes(std::size_t Bytes, std::size_t Left) {
    Client_->Receiving_.update(Received_, Bytes, Left);
  }

  void discardResponse() {
    if (Reader_)
      Reader_->discard();
    PauseTimer_.cancel();
    setReceivingBytes(0, 0);
  }

  void finishCompleted() {
    bool Reusable =
        Reader_->allowsReuse() && RequestWritten_ && SkippedResponses_ == 0;
    HttpResult Result;
    Result.Status_ = HttpCallStatus::Completed;
    Result.Response_ = Reader_->release();
    Result.ReceivingTime_ = Client_->Time_.now() - *FirstByteAt_;
    setReceivingBytes(0, 0);
    if (!matchesRequest(Result.Response_) ||
        !isWholeSuccess(Result.Response_)) {
      finish(HttpCallStatus::ConnectionLost);
      return;
    }
    noteFailure(Result.Response_);
    Reusable =
        Reusable && Connection_->FailedRequests_.size() < MaxFailedRequests;
    Client_->Outputs_->remove(Written_);
    if (Reusable) {
      Connection_->Stream_.expires_never();
      Connection_->IdleSince_ = Client_->Time_.now();
      Connection_->CheckedAt_ = Connection_->IdleSince_;
      Connection_->Reused_ = true;
      Client_->pool(Address_).Idle_.push_back(std::move(Connection_));
    }
    closeConnection();
    deliver(std::move(Result));
  }

  /// Remembers on the connection that the request may be sent again.
  void noteFailure(const HttpResponse &Response) {
    const bool Failed =
        Response.Status_ >= FirstClientError ||
        findHeader(Response.Headers_, Options_.NotRunHeader_) != nullptr;
    if (Failed && !ExpectedEcho_.empty())
      Connection_->FailedRequests_.push_back(
          std::hash<std::string>()(ExpectedEcho_));
  }

  /// Returns whether the response belongs to this request. A late or duplicate
  /// response on a reused connection belongs to an earlier one, also if it was
  /// not skipped. A change of protocol is never requested.
  bool matchesRequest(const HttpResponse &Response) const {
    if (Response.Status_ == SwitchingProtocols)
      return false;
    const std::string *Echo =
        findHeader(Response.Headers_, Options_.EchoHeader_);
    if (Echo != nullptr && !Echo->empty())
      return *Echo == ExpectedEcho_;
    const bool NotRun =
        findHeader(Response.Headers_, Options_.NotRunHeader_) != nullptr;
    // A rejection without the request's ID may be a second copy of an earlier
    // one if the connection has been used before.
    if (NotRun)
      return !Connection_->Reused_;
    return ExpectedEcho_.empty();
  }

  /// Returns false if the response claims success but lacks the header that
  /// proves it. Its head may have been cut.
  bool isWholeSuccess(const HttpResponse &Response) const {
    const bool Success = http::to_status_class(Response.Status_) ==
                         http::status_class::successful;
    return !Success || Options_.SuccessHeader_.empty() ||
           findHeader(Response.Headers_, Options_.SuccessHeader_) != nullptr ||
           findHeader(Response.Headers_, Options_.NotRunHeader_) != nullptr;
  }

  void finishFailed(error_code Failure, std::size_t BytesSent) {
    const bool TimedOut = Failure == boost::beast::error::timeout;
    if (!TimedOut)
      ++Client_->pool(Address_).Lost_;
    if (BytesSent == 0 && !TimedOut)
      finish(HttpCallStatus::NotSent);
    else
      finish(TimedOut ? HttpCallStatus::TimedOut
                      : HttpCallStatus::ConnectionLost);
  }

  void finish(HttpCallStatus Status) {
    closeConnection();
    discardResponse();
    HttpResult Result;
    Result.Status_ = Status;
    Result.ConnectionRefused_ = ConnectionRefused_;
    deliver(std::move(Result));
  }

  void finishLater(HttpCallStatus Status) {
    boost::asio::post(Client_->Context_, [Self = shared_from_this(), Status] {
      Self->finish(Status);
    });
  }

  void deliver(HttpResult Result) {
    HttpClient::Callback Done = std::move(Done_);
    Done_ = nullptr;
    if (Done)
      Done(std::move(Result));
  }

  void closeConnection() {
    if (!Connection_)
      return;
    Client_->Outputs_->remove(Written_);
    Connection_->Stream_.close();
    // Aborted operations still refer to the connection.
    ClosedConnection_ = std::move(Connection_);
    --Client_->pool(Address_).Open_;
  }

  std::shared_ptr<HttpClient::Impl> Client_;
  std::string Address_;
  HttpCallOptions Options_;
  HttpClient::Callback Done_;
  MessageBody Body_;
  /// Refers to Body_.
  http::request<http::span_body<const char>> Message_;
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

} // namespace

HttpClient::HttpClient(IoLoop &Loop, const Clock &Time,
                       HttpClientOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, Time, Options)) {}

HttpClient::~HttpClient() { Impl_->Pools_.clear(); }

std::shared_ptr<void> HttpClient::send(const std::string &Address,
                                       HttpRequest Request,
                                       HttpCallOptions Options, Callback Done) {
  std::shared_ptr<Call> Started = std::make_shared<Call>(
      Impl_, Address, std::move(Request), std::move(Options), std::move(Done));
  Started->start();
  return Started;
}

void HttpClient::cancel(const std::shared_ptr<void> &Handle) {
  if (Handle)
    std::static_pointer_cast<Call>(Handle)->cancel();
}

std::size_t HttpClient::receivedBytes(const std::shared_ptr<void> &Handle) {
  return Handle ? std::static_pointer_cast<Call>(Handle)->receivedBytes() : 0;
}

void HttpClient::setMaxConnections(const std::string &Address,
                                   std::size_t Limit) {
  Impl_->pool(Address).Limit_ = Limit;
}

void HttpClient::reapIdle() {
  for (auto &[Address, Pool] : Impl_->Pools_)
    reapIdleConnections(Pool, Impl_->Options_.MaxIdleTime_, Impl_->Time_.now());
}

void HttpClient::closeEnded(const std::string &Address) {
  closeEndedConnections(Impl_->pool(Address));
}

std::size_t HttpClient::lostConnections(const std::string &Address) const {
  const auto Found = Impl_->Pools_.find(Address);
  return Found == Impl_->Pools_.end() ? 0 : Found->second.Lost_;
}

void HttpClient::closeIdle(const std::string &Address) {
  ConnectionPool &Target = Impl_->pool(Address);
  Target.Open_ -= Target.Idle_.size();
  Target.Idle_.clear();
}

std::size_t HttpClient::openConnections(const std::string &Address) const {
  const auto Found = Impl_->Pools_.find(Address);
  return Found == Impl_->Pools_.end() ? 0 : Found->second.Open_;
}

std::size_t HttpClient::receivingBytes() const {
  return Impl_->Receiving_.bytes();
}

} // namespace lagoonhitch

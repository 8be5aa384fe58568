#include "net/http_call.h"

#include "core/error.h"
#include "net/address.h"
#include "net/beast_convert.h"
#include "net/http_client_impl.h"
#include "net/socket_options.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

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

HttpCall::HttpCall(std::shared_ptr<HttpClient::Impl> Client,
                   std::string Address, HttpRequest Request,
                   HttpCallOptions Options, HttpClient::Callback Done)
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

HttpCall::~HttpCall() {
  closeConnection();
  setReceivingBytes(0, 0);
}

void HttpCall::start() {
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

void HttpCall::cancel() {
  Done_ = nullptr;
  closeConnection();
  discardResponse();
}

std::size_t HttpCall::receivedBytes() const {
  if (!Connection_ || !Reader_)
    return 0;
  error_code Failure;
  const std::size_t Unread = Connection_->Stream_.socket().available(Failure);
  return Reader_->bytes() + Reader_->skippedBytes() + (Failure ? 0 : Unread);
}

bool HttpCall::reuseIdleConnection() {
  ConnectionChoice Choice;
  Choice.RequestId_ = ExpectedEcho_;
  Choice.MaxIdleTime_ = Options_.MaxIdleTime_ > Duration::zero()
                            ? Options_.MaxIdleTime_
                            : Client_->Options_.MaxIdleTime_;
  Choice.MaxAge_ = Client_->Options_.MaxConnectionAge_;
  Connection_ = takeIdle(Client_->pool(Address_), Choice, Client_->Time_.now());
  return Connection_ != nullptr;
}

void HttpCall::connect(ConnectionPool &Target) {
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

void HttpCall::write() {
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
void HttpCall::watchOutput() {
  Written_.Socket_ = Connection_->Stream_.socket().native_handle();
  Written_.OnPeerGone_ = [Weak = weak_from_this()] {
    const std::shared_ptr<HttpCall> Self = Weak.lock();
    if (!Self || !Self->Connection_)
      return;
    discardOutput(Self->Connection_->Stream_.socket());
    Self->finishFailed(boost::asio::error::timed_out, 1);
  };
  Client_->Outputs_->onWritten(Written_);
}
void HttpCall::onWriteFailed(error_code Failure, std::size_t Size) {
  const bool TimedOut = Failure == boost::beast::error::timeout;
  if (Size == 0 || TimedOut)
    finishFailed(Failure, Size);
  else
    WriteFailed_ = true;
}

void HttpCall::readSome() {
  Connection_->Stream_.async_read_some(
      Reader_->prepare(),
      [Self = shared_from_this()](error_code Failure, std::size_t Size) {
        if (Self->Connection_)
          Self->onReceived(Failure, Size);
      });
}
void HttpCall::onReceived(error_code Failure, std::size_t Size) {
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

bool HttpCall::mayReadOn() const {
  return Client_->Receiving_.mayReadOn(Received_);
}

void HttpCall::readOnOrPause() {
  if (!mayReadOn()) {
    pause();
    return;
  }
  extendTimeout();
  readSome();
}
void HttpCall::pause() {
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
Duration HttpCall::timeLeft() const {
  const Instant Now = Client_->Time_.now();
  if (Options_.MaxSilence_ == Duration::zero() || !FirstByteAt_)
    return TimeoutAt_ - Now;
  const Instant ReceivingEnd = *FirstByteAt_ + Options_.MaxReceivingTime_;
  const Instant SilenceEnd = std::min(Now + Options_.MaxSilence_, ReceivingEnd);
  return std::max(TimeoutAt_, SilenceEnd) - Now;
}
void HttpCall::extendTimeout() {
  if (Options_.MaxSilence_ != Duration::zero() && FirstByteAt_)
    Connection_->Stream_.expires_after(timeLeft());
}
bool HttpCall::readArrived(error_code &Failure, std::size_t &Size) {
  tcp::socket &Socket = Connection_->Stream_.socket();
  if (!Socket.non_blocking())
    Socket.non_blocking(true, Failure);
  if (!Failure)
    Size = Socket.read_some(Reader_->prepare(), Failure);
  return Failure != boost::asio::error::would_block;
}
bool HttpCall::handleReceived(error_code Failure, std::size_t Size) {
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
bool HttpCall::isExtraResponse() const {
  if (ExpectedEcho_.empty() || !Connection_->Reused_)
    return false;
  const std::string_view Echo = Reader_->uniqueHeader(Options_.EchoHeader_);
  return !Echo.empty() && Echo != ExpectedEcho_ &&
         Reader_->status() != SwitchingProtocols && Reader_->statesItsEnd() &&
         !Connection_->CarriedHead_ && SkippedResponses_ < MaxSkippedResponses;
}

ResponseReader::Progress HttpCall::skipResponse() {
  ++SkippedResponses_;
  FirstByteAt_.reset();
  if (Reader_->hasLaterBytes())
    FirstByteAt_ = Client_->Time_.now();
  return Reader_->skipResponse();
}

void HttpCall::setReceivingBytes(std::size_t Bytes, std::size_t Left) {
  Client_->Receiving_.update(Received_, Bytes, Left);
}

void HttpCall::discardResponse() {
  if (Reader_)
    Reader_->discard();
  PauseTimer_.cancel();
  setReceivingBytes(0, 0);
}

void HttpCall::finishCompleted() {
  bool Reusable =
      Reader_->allowsReuse() && RequestWritten_ && SkippedResponses_ == 0;
  HttpResult Result;
  Result.Status_ = HttpCallStatus::Completed;
  Result.Response_ = Reader_->release();
  Result.ReceivingTime_ = Client_->Time_.now() - *FirstByteAt_;
  setReceivingBytes(0, 0);
  if (!matchesRequest(Result.Response_) || !isWholeSuccess(Result.Response_)) {
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
void HttpCall::noteFailure(const HttpResponse &Response) {
  const bool Failed =
      Response.Status_ >= FirstClientError ||
      findHeader(Response.Headers_, Options_.NotRunHeader_) != nullptr;
  if (Failed && !ExpectedEcho_.empty())
    Connection_->FailedRequests_.push_back(
        std::hash<std::string>()(ExpectedEcho_));
}
bool HttpCall::matchesRequest(const HttpResponse &Response) const {
  if (Response.Status_ == SwitchingProtocols)
    return false;
  const std::string *Echo = findHeader(Response.Headers_, Options_.EchoHeader_);
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
bool HttpCall::isWholeSuccess(const HttpResponse &Response) const {
  const bool Success =
      http::to_status_class(Response.Status_) == http::status_class::successful;
  return !Success || Options_.SuccessHeader_.empty() ||
         findHeader(Response.Headers_, Options_.SuccessHeader_) != nullptr ||
         findHeader(Response.Headers_, Options_.NotRunHeader_) != nullptr;
}

void HttpCall::finishFailed(error_code Failure, std::size_t BytesSent) {
  const bool TimedOut = Failure == boost::beast::error::timeout;
  if (!TimedOut)
    ++Client_->pool(Address_).Lost_;
  if (BytesSent == 0 && !TimedOut)
    finish(HttpCallStatus::NotSent);
  else
    finish(TimedOut ? HttpCallStatus::TimedOut
                    : HttpCallStatus::ConnectionLost);
}

void HttpCall::finish(HttpCallStatus Status) {
  closeConnection();
  discardResponse();
  HttpResult Result;
  Result.Status_ = Status;
  Result.ConnectionRefused_ = ConnectionRefused_;
  deliver(std::move(Result));
}

void HttpCall::finishLater(HttpCallStatus Status) {
  boost::asio::post(Client_->Context_, [Self = shared_from_this(), Status] {
    Self->finish(Status);
  });
}

void HttpCall::deliver(HttpResult Result) {
  HttpClient::Callback Done = std::move(Done_);
  Done_ = nullptr;
  if (Done)
    Done(std::move(Result));
}

void HttpCall::closeConnection() {
  if (!Connection_)
    return;
  Client_->Outputs_->remove(Written_);
  Connection_->Stream_.close();
  // Aborted operations still refer to the connection.
  ClosedConnection_ = std::move(Connection_);
  --Client_->pool(Address_).Open_;
}

} // namespace lagoonhitch

/// \file
/// How a connection to an HTTP server reads requests.

#include "net/http_session.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace lagoonhitch {

namespace {

constexpr std::size_t ReadChunkBytes = 8192;
/// Maximum size of one read of a large body.
constexpr std::size_t MaxReadBytes = std::size_t{64} * 1024;
/// Size from which a body is read in larger parts.
constexpr std::size_t LargeBodyBytes = std::size_t{64} * 1024;
/// Maximum size of the buffer that a connection keeps between two requests.
constexpr std::size_t MaxIdleBufferBytes = std::size_t{16} * 1024;
/// Maximum number of requests of one connection that are handled at a time.
constexpr std::size_t MaxPendingExchanges = 16;
/// Size of waiting responses, in bytes, from which no further request of the
/// connection is read.
constexpr std::size_t MaxWaitingBytes = std::size_t{256} * 1024;

ConnectionEnd endOf(const error_code &Failure) {
  const bool Closed = Failure == boost::asio::error::eof ||
                      Failure == http::error::end_of_stream ||
                      Failure == boost::asio::error::operation_aborted;
  return Closed ? ConnectionEnd::Closed : ConnectionEnd::Broken;
}

} // namespace

/// Reads the start of the first request if it has arrived.
void HttpSession::readArrived() {
  error_code Failure;
  Stream_.socket().non_blocking(true, Failure);
  const std::size_t Size =
      Stream_.socket().read_some(Buffer_.prepare(ReadChunkBytes), Failure);
  if (!Failure)
    Buffer_.commit(Size);
}

bool HttpSession::canRead() const {
  return !Reading_ && !Closed_ && !LastRequestRead_ && !WaitingRequest_ &&
         Pending_.size() < MaxPendingExchanges &&
         WaitingBytes_ < MaxWaitingBytes;
}

void HttpSession::readNext() {
  if (!canRead())
    return;
  Reading_ = true;
  if (Buffer_.size() > 0) {
    boost::asio::post(Stream_.get_executor(), [Self = shared_from_this()] {
      Self->onInput(error_code(), 0);
    });
    return;
  }
  Idle_ = true;
  IdleSince_ = std::chrono::steady_clock::now();
  if (Pending_.empty())
    setIdleTimer();
  awaitInput();
}

/// Waits until something arrives, and reads it in the same turn: until then,
/// the socket shows whether something has arrived. A pending read would take it
/// before its handler runs.
void HttpSession::awaitInput() {
  Reading_ = true;
  Stream_.socket().async_wait(tcp::socket::wait_read,
                              [Self = shared_from_this()](error_code Failure) {
                                Self->readInput(Failure);
                              });
}

void HttpSession::readInput(error_code Failure) {
  std::size_t Size = 0;
  const bool MayRead = !Failure && !Closed_ && !LastRequestRead_;
  if (MayRead)
    Size =
        Stream_.socket().read_some(Buffer_.prepare(nextReadBytes()), Failure);
  if (Failure == boost::asio::error::would_block) {
    awaitInput();
    return;
  }
  Idle_ = false;
  onInput(Failure, Size);
}

void HttpSession::setIdleTimer() {
  ReadTimer_.expires_at(IdleSince_ + Server_->Options_.IdleTimeout_);
  ReadTimer_.async_wait([Weak = weak_from_this()](error_code Failure) {
    const std::shared_ptr<HttpSession> Self = Weak.lock();
    if (!Failure && Self)
      Self->onIdleTimeout();
  });
}

void HttpSession::onIdleTimeout() {
  const Instant Now = std::chrono::steady_clock::now();
  const bool Expired = ReadTimer_.expiry() <= Now;
  if (!Idle_ || !Pending_.empty() || !Expired || hasInput())
    return;
  // The timeout may have been raised since then.
  if (IdleSince_ + Server_->Options_.IdleTimeout_ > Now)
    setIdleTimer();
  else
    abandon(ConnectionEnd::IdleTimeout);
}

/// The limits are those at the first byte of the request: they may have changed
/// since the connection became idle.
void HttpSession::startReader() {
  const HttpServerOptions &Options = Server_->Options_;
  Reader_.emplace(
      RequestLimits{Options.MaxHeaderBytes_, Options.MaxBodyBytes_});
}

/// Handles what was read of a request.
void HttpSession::onInput(const error_code &Failure, std::size_t Size) {
  Reading_ = false;
  if (Closed_)
    return;
  if (LastRequestRead_) {
    if (Discarding_)
      startDiscarding();
    return;
  }
  if (Failure) {
    onReadFailed(Failure);
    return;
  }
  Buffer_.commit(Size);
  if (Size > 0)
    LastInputAt_ = std::chrono::steady_clock::now();
  if (ArrivedInTime_)
    *ArrivedInTime_ -= std::min(*ArrivedInTime_, Size);
  if (!Reader_)
    startReader();
  RequestReader::Progress Progress = Reader_->parse(Buffer_);
  if (Progress == RequestReader::Progress::Header) {
    // A body that has arrived needs no reservation.
    if (Reader_->bodyBytesLeft() > Buffer_.size() && !reserveInput()) {
      rejectRequest(RequestRejection::NoMemory);
      return;
    }
    Progress = Reader_->parse(Buffer_);
  }
  switch (Progress) {
  case RequestReader::Progress::Complete:
    onRequest();
    return;
  case RequestReader::Progress::Rejected:
    rejectRequest(Reader_->rejection());
    return;
  case RequestReader::Progress::Header:
  case RequestReader::Progress::Incomplete:
    readOn();
    return;
  }
}

/// Reads more of an incomplete request.
void HttpSession::readOn() {
  if (!RequestTimerSet_)
    setRequestTimer(Server_->Options_.RequestTimeout_);
  if (ArrivedInTime_ && *ArrivedInTime_ == 0 && isRequestLate()) {
    rejectRequest(RequestRejection::Late);
    return;
  }
  if (!reserveInput()) {
    rejectRequest(RequestRejection::NoMemory);
    return;
  }
  awaitInput();
}

/// Bytes that wait in the socket count as well: this loop may be late.
bool HttpSession::isReceiving(const HttpHeader &Header, Duration MaxSilence) {
  if (!Reader_ || !Reader_->hasHeader(Header.Name_, Header.Value_))
    return false;
  if (std::chrono::steady_clock::now() - LastInputAt_ < MaxSilence)
    return true;
  return unreadBytes() > 0;
}

std::size_t HttpSession::nextReadBytes() const {
  if (!Reader_ || Reader_->bodyBytes(0) <= LargeBodyBytes)
    return ReadChunkBytes;
  return std::clamp(Reader_->bodyBytesLeft(), ReadChunkBytes, MaxReadBytes);
}

/// The timeout of the stream would close it, and no response could be sent.
void HttpSession::setRequestTimer(Duration MaxTime) {
  RequestTimerSet_ = true;
  ReadTimer_.expires_after(MaxTime);
  ReadTimer_.async_wait([Weak = weak_from_this()](error_code Failure) {
    const std::shared_ptr<HttpSession> Self = Weak.lock();
    // A cancelled timer that has expired calls back without an error.
    if (!Failure && Self && Self->isRequestLate())
      Self->onRequestTimeout();
  });
}

bool HttpSession::isRequestLate() const {
  return RequestTimerSet_ && !Closed_ && !LastRequestRead_ &&
         ReadTimer_.expiry() <= std::chrono::steady_clock::now();
}

/// If this loop is late, what has arrived is read first, and the client has as
/// much more time for what did not fit into the socket.
void HttpSession::onRequestTimeout() {
  if (!ArrivedInTime_) {
    ArrivedInTime_ = unreadBytes();
    const Duration Lag = std::chrono::steady_clock::now() - ReadTimer_.expiry();
    if (*ArrivedInTime_ > 0)
      setRequestTimer(
          std::min<Duration>(Lag, Server_->Options_.RequestTimeout_));
  }
  if (*ArrivedInTime_ == 0)
    rejectRequest(RequestRejection::Late);
}

std::size_t HttpSession::unreadBytes() {
  error_code Failure;
  const std::size_t Bytes = Stream_.socket().available(Failure);
  return Failure ? 0 : Bytes;
}

/// Counts what the incomplete request needs for the next read. Returns whether
/// it fits into the memory.
bool HttpSession::reserveInput() {
  const std::size_t ReadBytes = nextReadBytes();
  const std::size_t BufferBytes =
      std::max(Buffer_.capacity(), Buffer_.size() + ReadBytes);
  const std::size_t Bytes = Reader_->bodyBytes(ReadBytes) +
                            (BufferBytes > ReadChunkBytes ? BufferBytes : 0);
  if (!Input_.GiveWay_)
    Input_.GiveWay_ = [this] { rejectRequest(RequestRejection::NoMemory); };
  return Server_->Budget_->tryResize(Input_, Bytes,
                                     std::chrono::steady_clock::now());
}

/// Ends the reservation and the timeout of the request that was being read.
void HttpSession::endInput() {
  ArrivedInTime_.reset();
  if (RequestTimerSet_) {
    RequestTimerSet_ = false;
    ReadTimer_.cancel();
  }
  if (Input_.Bytes_ == 0 && !Input_.GiveWay_)
    return;
  Input_.GiveWay_ = nullptr;
  Server_->Budget_->resize(Input_, 0);
}

void HttpSession::onRequest() {
  endInput();
  const bool KeepAlive = Reader_->keepsAlive();
  WaitingRequest_ = Reader_->release(Server_->Budget_);
  Reader_.reset();
  if (Buffer_.size() == 0 && Buffer_.capacity() > MaxIdleBufferBytes)
    Buffer_ = boost::beast::flat_buffer();
  // A small body is not counted before it is complete.
  if (Server_->Budget_->isExceeded()) {
    Server_->Budget_->enforce(std::chrono::steady_clock::now());
    if (Server_->Budget_->isExceeded() && !WaitingRequest_->Body_.empty()) {
      WaitingRequest_.reset();
      rejectRequest(RequestRejection::NoMemory);
      return;
    }
  }
  LastRequestRead_ = !KeepAlive;
  Pipelined_ = Pipelined_ || !Pending_.empty();
  if (Server_->ChecksClients_ && isClientGone()) {
    abandon(ConnectionEnd::Closed);
    return;
  }
  startWaitingRequest();
}

void HttpSession::onReadFailed(const error_code &Failure) {
  const bool Incomplete =
      Failure == boost::asio::error::eof && Reader_ && Reader_->onEndOfStream();
  if (Incomplete)
    rejectRequest(RequestRejection::Malformed);
  else
    abandon(endOf(Failure));
}

/// Answers a request that can't be handled, after the requests before it.
/// Nothing behind it can be read.
void HttpSession::rejectRequest(RequestRejection Reason) {
  endInput();
  Reader_.reset();
  if (!Reading_)
    Buffer_ = boost::beast::flat_buffer();
  LastRequestRead_ = true;
  InputLeft_ = true;
  ++Server_->Rejections_[static_cast<std::size_t>(Reason)];
  const std::uint64_t Number = addPending(false);
  HttpResponse Response = rejectionResponse(Reason);
  if (Reason == RequestRejection::NoMemory)
    for (const HttpHeader &Header : Server_->Options_.NoMemoryHeaders_)
      Response.Headers_.push_back(Header);
  respond(Number, std::move(Response));
}

/// Reads the requests that the client sends before the pending ones are
/// answered.
void HttpSession::readAhead() {
  if (Buffer_.size() > 0)
    readNext();
  else
    watchForInput();
}

/// Waits until the client sends another request or closes the connection.
void HttpSession::watchForInput() {
  if (Watching_ || Reading_ || Closed_ || Pending_.empty())
    return;
  Watching_ = true;
  Stream_.socket().async_wait(tcp::socket::wait_read,
                              [Self = shared_from_this()](error_code Failure) {
                                Self->Watching_ = false;
                                Self->onReadable(Failure);
                              });
}

void HttpSession::onReadable(const error_code &Failure) {
  if (Failure || Reading_ || Closed_ || Pending_.empty())
    return;
  switch (peekInput()) {
  case InputState::Data:
    readNext();
    return;
  case InputState::None:
    watchForInput();
    return;
  case InputState::Ended:
    abandon(ConnectionEnd::Closed);
    return;
  case InputState::Broken:
    abandon(ConnectionEnd::Broken);
    return;
  }
}

/// Returns what the socket holds, without reading it.
HttpSession::InputState HttpSession::peekInput() {
  char Byte = 0;
  error_code Failure;
  Stream_.socket().non_blocking(true, Failure);
  Stream_.socket().receive(boost::asio::buffer(&Byte, 1),
                           tcp::socket::message_peek, Failure);
  if (!Failure)
    return InputState::Data;
  if (Failure == boost::asio::error::would_block)
    return InputState::None;
  return endOf(Failure) == ConnectionEnd::Closed ? InputState::Ended
                                                 : InputState::Broken;
}

bool HttpSession::hasInput() { return peekInput() == InputState::Data; }

bool HttpSession::isClientGone() {
  const InputState Input = peekInput();
  return Input == InputState::Ended || Input == InputState::Broken;
}

} // namespace lagoonhitch

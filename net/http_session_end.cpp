/// \file
/// How a connection to an HTTP server ends.

#include "net/http_session.h"

#include "net/transmit_state.h"

#include <boost/asio/ip/tcp.hpp>

#include <utility>

using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace lagoonhitch {

namespace {

constexpr std::size_t DiscardChunkBytes = 8192;
/// How long the input behind the last request is discarded, or longer if the
/// response is not delivered then.
constexpr std::chrono::milliseconds DiscardTime{500};
/// How much of it is read.
constexpr std::size_t MaxDiscardedBytes = std::size_t{4} * 1024 * 1024;

} // namespace

/// Closes the connection after its last response. If requests behind it may
/// still arrive, they are discarded for a while: closing a connection with
/// unread data resets it, and the client could lose the response.
void HttpSession::closeAfterResponse() {
  const bool MayHaveInput =
      Pipelined_ || Reading_ || InputLeft_ || Buffer_.size() > 0;
  if (!MayHaveInput) {
    abandon(ConnectionEnd::Completed);
    return;
  }
  Discarding_ = true;
  error_code Ignored;
  Stream_.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  if (Reading_)
    Stream_.cancel();
  else
    startDiscarding();
}

/// Closes the connection. The requests without a response are abandoned.
void HttpSession::abandon(ConnectionEnd End) {
  if (Closed_)
    return;
  const std::shared_ptr<HttpSession> Self = shared_from_this();
  reportCut(End);
  close();
  std::deque<PendingExchange> Abandoned = std::move(Pending_);
  Pending_.clear();
  Server_->OpenExchanges_ -= Abandoned.size();
  for (const PendingExchange &Entry : Abandoned)
    if (Entry.OnAbandoned_)
      Entry.OnAbandoned_(End);
}

/// Reports if the server has decided to close the connection although a request
/// on it has no complete response.
void HttpSession::reportCut(ConnectionEnd End) {
  const bool Decided = End != ConnectionEnd::Closed &&
                       End != ConnectionEnd::Broken &&
                       End != ConnectionEnd::Completed;
  if (!Decided || !Server_->OnCut_)
    return;
  ConnectionCut Cut;
  Cut.Cause_ = End;
  for (const PendingExchange &Entry : Pending_)
    ++(Entry.Response_ ? Cut.UnsentResponses_ : Cut.OpenRequests_);
  if (WaitingRequest_)
    ++Cut.OpenRequests_;
  Cut.UnhandledBytes_ = Buffer_.size() + unreadBytes();
  if (IdleSince_ != Instant())
    Cut.SinceIdle_ = std::chrono::steady_clock::now() - IdleSince_;
  if (Cut.OpenRequests_ + Cut.UnsentResponses_ + Cut.UnhandledBytes_ > 0)
    Server_->OnCut_(Cut);
}

void HttpSession::close() {
  Closed_ = true;
  endInput();
  endOutput();
  Server_->Outputs_->remove(Written_);
  Server_->Sessions_.erase(this);
  Idle_ = false;
  Reader_.reset();
  WaitingRequest_.reset();
  error_code Ignored;
  Stream_.socket().shutdown(tcp::socket::shutdown_both, Ignored);
  Stream_.socket().close(Ignored);
}

void HttpSession::startDiscarding() {
  Buffer_ = boost::beast::flat_buffer();
  Stream_.expires_never();
  DiscardEnd_ =
      std::chrono::steady_clock::now() + Server_->Options_.IdleTimeout_;
  awaitDelivery();
  discardInput();
}

/// Closes the connection after a while, but not before the client has what was
/// written: input that arrives at a closed connection resets it.
void HttpSession::awaitDelivery() {
  RequestTimerSet_ = true;
  ReadTimer_.expires_after(DiscardTime);
  ReadTimer_.async_wait([Self = shared_from_this()](error_code Failure) {
    if (Failure || Self->Closed_)
      return;
    const bool Late = std::chrono::steady_clock::now() >= Self->DiscardEnd_;
    if (Late || Self->isOutputDelivered())
      Self->abandon(ConnectionEnd::Completed);
    else
      Self->awaitDelivery();
  });
}

/// Returns whether the client has acknowledged all that was written, as far as
/// the kernel reports it.
bool HttpSession::isOutputDelivered() {
  const std::optional<TransmitState> State =
      readTransmitState(Stream_.socket().native_handle());
  return !State || (!State->Unacknowledged_ && !State->Unsent_);
}

/// A client that sends without end is not read any more, but has time to read
/// the response.
void HttpSession::discardInput() {
  if (DiscardedBytes_ > MaxDiscardedBytes)
    return;
  Reading_ = true;
  Stream_.async_read_some(
      Buffer_.prepare(DiscardChunkBytes),
      [Self = shared_from_this()](error_code Failure, std::size_t Size) {
        Self->Reading_ = false;
        Self->DiscardedBytes_ += Size;
        if (Failure)
          Self->abandon(ConnectionEnd::Completed);
        else
          Self->discardInput();
      });
}

} // namespace lagoonhitch

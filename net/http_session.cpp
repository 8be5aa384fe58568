#include "net/http_session.h"

#include "net/beast_convert.h"
#include "net/socket_options.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace lagoonhitch {

namespace {

/// Size from which a response is sent in parts, whose progress is observed.
constexpr std::size_t LargeResponseBytes = std::size_t{64} * 1024;
constexpr std::string_view ProgressResponse = "HTTP/1.1 102 Processing\r\n\r\n";

ConnectionEnd endOfWrite(const error_code &Failure) {
  return Failure == boost::beast::error::timeout
             ? ConnectionEnd::ResponseNotRead
             : ConnectionEnd::Broken;
}

/// Returns the response to a request whose handler failed. It may have run.
HttpResponse failedHandlerResponse() {
  constexpr unsigned InternalServerError = 500;
  HttpResponse Response;
  Response.Status_ = InternalServerError;
  Response.Headers_.push_back({"Lagoonhitch-Outcome", "unknown"});
  return Response;
}

/// Connects a handler to one request of a session, so that a late response is
/// never sent for another request.
class SessionExchange : public HttpExchange {
public:
  SessionExchange(std::shared_ptr<HttpSession> Served, std::uint64_t Number)
      : Session_(std::move(Served)), RequestNumber_(Number) {}

  void respond(HttpResponse Response) override {
    Session_->respond(RequestNumber_, std::move(Response));
  }

  void reportProgress() override { Session_->reportProgress(RequestNumber_); }

  void onAbandoned(AbandonCallback Callback) override {
    Session_->setOnAbandoned(RequestNumber_, std::move(Callback));
  }

private:
  std::shared_ptr<HttpSession> Session_;
  std::uint64_t RequestNumber_;
};

} // namespace

HttpSession::HttpSession(tcp::socket Socket,
                         std::shared_ptr<HttpServer::Impl> Server)
    : Stream_(std::move(Socket)), Server_(std::move(Server)),
      ReadTimer_(Stream_.get_executor()) {
  Server_->Sessions_.insert(this);
  Written_.Socket_ = Stream_.socket().native_handle();
  Written_.OnPeerGone_ = [this] { onPeerGone(); };
  Written_.OnWindowClosed_ = [this] { onWindowClosed(); };
}

HttpSession::~HttpSession() {
  endInput();
  endOutput();
  Server_->Outputs_->remove(Written_);
  Server_->Sessions_.erase(this);
}

bool HttpSession::start() {
  readArrived();
  if (isClientGone())
    return false;
  readNext();
  return true;
}

HttpSession::PendingExchange *HttpSession::findPending(std::uint64_t Number) {
  const auto Found = std::find_if(Pending_.begin(), Pending_.end(),
                                  [Number](const PendingExchange &Entry) {
                                    return Entry.Number_ == Number;
                                  });
  return Found == Pending_.end() ? nullptr : &*Found;
}

void HttpSession::respond(std::uint64_t Number, HttpResponse Response) {
  PendingExchange *Answered = findPending(Number);
  if (Answered == nullptr || Answered->Response_)
    return;
  WaitingBytes_ += Response.Body_.size();
  Answered->Response_ = std::move(Response);
  Answered->OnAbandoned_ = nullptr;
  countOutput();
  writeNext();
}

void HttpSession::setOnAbandoned(std::uint64_t Number,
                                 HttpExchange::AbandonCallback Callback) {
  PendingExchange *Entry = findPending(Number);
  if (Entry != nullptr && !Entry->Response_)
    Entry->OnAbandoned_ = std::move(Callback);
}

void HttpSession::closeIfIdle() {
  const bool AwaitsFirstRequest = LastNumber_ == 0;
  if (idleSince() && !AwaitsFirstRequest && !hasInput())
    abandon(ConnectionEnd::Completed);
}

/// Returns whether the waiting request can't be handled yet.
bool HttpSession::mustWait() const {
  if (Pending_.empty())
    return false;
  // While connections are closed after their next response, a request behind
  // another one is left to be sent again.
  if (Server_->KeepAliveDisabled_ || !Server_->MayOverlap_ ||
      !Server_->MayOverlap_(*WaitingRequest_))
    return true;
  return !std::all_of(
      Pending_.begin(), Pending_.end(),
      [](const PendingExchange &Entry) { return Entry.Overlappable_; });
}

void HttpSession::startWaitingRequest() {
  if (mustWait()) {
    watchForInput();
    return;
  }
  HttpRequest Request = std::move(*WaitingRequest_);
  WaitingRequest_.reset();
  startExchange(std::move(Request));
  readAhead();
}

std::uint64_t HttpSession::addPending(bool Overlappable) {
  PendingExchange Added;
  Added.Number_ = ++LastNumber_;
  Added.Overlappable_ = Overlappable;
  Pending_.push_back(std::move(Added));
  ++Server_->OpenExchanges_;
  return LastNumber_;
}

void HttpSession::startExchange(HttpRequest Request) {
  const bool Overlappable =
      Server_->MayOverlap_ && Server_->MayOverlap_(Request);
  const std::uint64_t Number = addPending(Overlappable);
  const std::shared_ptr<HttpExchange> Exchange =
      std::make_shared<SessionExchange>(shared_from_this(), Number);
  try {
    Server_->Handle_(std::move(Request), Exchange);
  } catch (...) {
    Exchange->respond(failedHandlerResponse());
    throw;
  }
}

void HttpSession::writeNext() {
  if (Writing_ || Closed_ || Pending_.empty() || !Pending_.front().Response_)
    return;
  const bool IsLast = Pending_.size() == 1;
  if (IsLast && Server_->KeepAliveDisabled_) {
    LastRequestRead_ = true;
    WaitingRequest_.reset();
  }
  const bool KeepAlive = !IsLast || !LastRequestRead_ || WaitingRequest_;
  write(std::move(*Pending_.front().Response_), KeepAlive);
}

void HttpSession::write(HttpResponse Source, bool KeepAlive) {
  Writing_ = true;
  WaitingBytes_ -= Source.Body_.size();
  SendingBytes_ = Source.Body_.size();
  Response_.emplace();
  Response_->version(11);
  Response_->result(Source.Status_);
  headersToBeast(Source.Headers_, *Response_);
  Response_->body() = std::move(Source.Body_);
  Response_->keep_alive(KeepAlive);
  Response_->prepare_payload();
  Serializer_.emplace(*Response_);
  writePart(KeepAlive);
}

/// Sends what the client takes of a response. A client that takes nothing for
/// as long as a connection may be idle is disconnected.
void HttpSession::writePart(bool KeepAlive) {
  Stream_.expires_after(Server_->Options_.IdleTimeout_);
  Server_->Outputs_->onWritten(Written_);
  http::async_write_some(
      Stream_, *Serializer_,
      [Self = shared_from_this(), KeepAlive](error_code Failure, std::size_t) {
        if (Failure || Self->Closed_ || Self->Serializer_->is_done()) {
          Self->onWritten(Failure, KeepAlive);
          return;
        }
        Self->Output_.ProgressAt_ = std::chrono::steady_clock::now();
        Self->writePart(KeepAlive);
      });
}

/// Ends the connection to a client that no longer acknowledges what was
/// written.
void HttpSession::onPeerGone() {
  discardOutput(Stream_.socket());
  abandon(ConnectionEnd::PeerGone);
}

/// Lets small responses that the client does not read give way to others, too.
void HttpSession::onWindowClosed() {
  const std::size_t Bytes = WaitingBytes_ + SendingBytes_;
  if (Bytes == 0)
    return;
  letOutputGiveWay();
  Server_->Budget_->resize(Output_, Bytes);
}

/// Lets the responses that are not sent completely give way to other messages.
void HttpSession::letOutputGiveWay() {
  if (Output_.GiveWay_)
    return;
  Output_.ProgressAt_ = Written_.Progress_.WrittenAt_;
  Output_.GiveWay_ = [this] {
    ++Server_->Rejections_[static_cast<std::size_t>(
        RequestRejection::ResponseNotRead)];
    abandon(ConnectionEnd::ResponseNotRead);
  };
}

/// Counts the responses that are not sent completely.
void HttpSession::countOutput() {
  const std::size_t Bytes = WaitingBytes_ + SendingBytes_;
  if (Bytes > LargeResponseBytes && !Output_.GiveWay_) {
    letOutputGiveWay();
    Output_.ProgressAt_ = std::chrono::steady_clock::now();
  }
  Server_->Budget_->resize(Output_, Bytes);
  if (!Server_->Budget_->isExceeded())
    return;
  // The request's body still counts while its response is passed on.
  boost::asio::post(Stream_.get_executor(), [Budget = Server_->Budget_] {
    Budget->enforce(std::chrono::steady_clock::now());
  });
}

void HttpSession::endOutput() {
  Output_.GiveWay_ = nullptr;
  Server_->Budget_->resize(Output_, 0);
}

void HttpSession::onWritten(const error_code &Failure, bool KeepAlive) {
  Writing_ = false;
  Serializer_.reset();
  Response_.reset();
  SendingBytes_ = 0;
  if (Closed_)
    return;
  if (Failure) {
    abandon(endOfWrite(Failure));
    return;
  }
  if (WaitingBytes_ == 0)
    endOutput();
  else
    countOutput();
  Pending_.pop_front();
  --Server_->OpenExchanges_;
  if (!KeepAlive) {
    closeAfterResponse();
    return;
  }
  writeNext();
  if (WaitingRequest_)
    startWaitingRequest();
  else if (Pending_.empty())
    readNext();
  else
    readAhead();
}

void HttpSession::reportProgress(std::uint64_t Number) {
  const bool IsNext = !Pending_.empty() && Pending_.front().Number_ == Number &&
                      !Pending_.front().Response_;
  if (!IsNext || Writing_ || Closed_)
    return;
  Writing_ = true;
  Stream_.expires_after(Server_->Options_.IdleTimeout_);
  Server_->Outputs_->onWritten(Written_);
  boost::asio::async_write(
      Stream_,
      boost::asio::buffer(ProgressResponse.data(), ProgressResponse.size()),
      [Self = shared_from_this()](error_code Failure, std::size_t) {
        Self->onProgressWritten(Failure);
      });
}

void HttpSession::onProgressWritten(const error_code &Failure) {
  Writing_ = false;
  if (Closed_)
    return;
  if (Failure) {
    abandon(endOfWrite(Failure));
    return;
  }
  writeNext();
}

} // namespace lagoonhitch

#include "net/http_server.h"

#include "core/error.h"
#include "net/address.h"
#include "net/beast_convert.h"
#include "net/io_loop_impl.h"
#include "net/socket_options.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <set>
#include <utility>

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace lagoonhitch {

namespace {

class Session;

} // namespace

struct HttpServer::Impl {
  Impl(IoLoop &Loop, HttpServerOptions Options, Handler Handle)
      : Options_(std::move(Options)), Handle_(std::move(Handle)),
        Acceptor_(Loop.impl().Context_) {}

  HttpServerOptions Options_;
  Handler Handle_;
  tcp::acceptor Acceptor_;
  std::set<Session *> Sessions_;
  std::size_t OpenExchanges_ = 0;
  bool KeepAliveDisabled_ = false;
};

namespace {

unsigned parseErrorStatus(const error_code &Failure) {
  if (Failure == http::error::header_limit)
    return 431;
  if (Failure == http::error::body_limit)
    return 413;
  if (Failure == boost::beast::error::timeout)
    return 408;
  return 400;
}

const char *parseErrorMessage(unsigned Status) {
  switch (Status) {
  case 431:
    return "the request headers exceed the size limit";
  case 413:
    return "the request body exceeds the size limit";
  case 408:
    return "the request was not received completely in time";
  default:
    return "the request is malformed";
  }
}

/// One accepted connection. Keeps itself alive while an operation is pending.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, std::shared_ptr<HttpServer::Impl> Server)
      : Stream_(std::move(Socket)), Server_(std::move(Server)) {
    Server_->Sessions_.insert(this);
  }

  ~Session() { Server_->Sessions_.erase(this); }

  void readNext() {
    Parser_.emplace();
    Parser_->header_limit(
        static_cast<std::uint32_t>(Server_->Options_.MaxHeaderBytes_));
    Parser_->body_limit(Server_->Options_.MaxBodyBytes_);
    if (Buffer_.size() > 0) {
      readRequest();
      return;
    }
    Idle_ = true;
    Stream_.expires_after(Server_->Options_.IdleTimeout_);
    Stream_.async_read_some(
        Buffer_.prepare(ReadChunkBytes),
        [Self = shared_from_this()](error_code Failure, std::size_t Size) {
          Self->Idle_ = false;
          if (Failure) {
            Self->closeUnlessDataPending();
            return;
          }
          Self->Buffer_.commit(Size);
          Self->readRequest();
        });
  }

  void respond(std::uint64_t Number, HttpResponse Response) {
    if (Number != RequestNumber_ || !ResponsePending_)
      return;
    stopWatching();
    error_code Ignored;
    Stream_.socket().cancel(Ignored);
    write(std::move(Response), KeepAlive_ && !Server_->KeepAliveDisabled_);
  }

  void setOnAbandoned(std::uint64_t Number, std::function<void()> Callback) {
    if (Number == RequestNumber_ && ResponsePending_)
      OnAbandoned_ = std::move(Callback);
  }

  /// Closes the connection if it waits for a request. A request that was
  /// already read, or that arrives meanwhile, is still served: closing the
  /// connection would lose it.
  void closeIfIdle() {
    if (!Idle_)
      return;
    IdleReadCancelled_ = true;
    Stream_.cancel();
  }

private:
  static constexpr std::size_t ReadChunkBytes = 8192;

  void closeUnlessDataPending() {
    error_code Failure;
    const bool DataPending =
        IdleReadCancelled_ && Stream_.socket().available(Failure) > 0;
    if (!DataPending || Failure) {
      close();
      return;
    }
    IdleReadCancelled_ = false;
    readNext();
  }

  void readRequest() {
    Stream_.expires_after(Server_->Options_.RequestTimeout_);
    http::async_read(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          Self->onRead(Failure);
        });
  }

  void onRead(error_code Failure) {
    if (Failure == http::error::end_of_stream ||
        Failure == boost::asio::error::operation_aborted) {
      close();
      return;
    }
    if (Failure) {
      rejectRequest(parseErrorStatus(Failure));
      return;
    }
    if (hasAmbiguousFraming()) {
      rejectRequest(400);
      return;
    }
    KeepAlive_ = Parser_->keep_alive();
    startExchange(requestFromBeast(Parser_->release()));
  }

  /// Returns whether the request's length is ambiguous: repeated length
  /// headers, or a length together with chunked encoding, allow request
  /// smuggling.
  bool hasAmbiguousFraming() const {
    const http::fields &Fields = Parser_->get().base();
    const bool HasLength = Fields.count(http::field::content_length) > 0;
    const bool HasChunks = Fields.count(http::field::transfer_encoding) > 0;
    if (HasLength && HasChunks)
      return true;
    return Fields.count(http::field::content_length) > 1 ||
           Fields.count(http::field::transfer_encoding) > 1;
  }

  void rejectRequest(unsigned Status) {
    HttpResponse Response;
    Response.Status_ = Status;
    Response.Headers_.push_back({"Content-Type", "application/json"});
    Response.Headers_.push_back({"Lagoonhitch-Outcome", "not-run"});
    Response.Body_ = std::string("{\"kind\":\"protocol\",\"message\":\"") +
                     parseErrorMessage(Status) +
                     "\",\"remedy\":\"send one well-formed request within "
                     "the limits of docs/SETTINGS.md\"}";
    Stream_.expires_after(Server_->Options_.RequestTimeout_);
    write(std::move(Response), false);
  }

  void startExchange(HttpRequest Request);

  void watchForClose() {
    Stream_.socket().async_wait(tcp::socket::wait_read,
                                [Self = shared_from_this(),
                                 Number = RequestNumber_](error_code Failure) {
                                  Self->onReadable(Number, Failure);
                                });
  }

  void onReadable(std::uint64_t Number, error_code Failure) {
    if (Failure || Number != RequestNumber_ || !ResponsePending_)
      return;
    char Byte = 0;
    error_code PeekFailure;
    Stream_.socket().non_blocking(true, PeekFailure);
    Stream_.socket().receive(boost::asio::buffer(&Byte, 1),
                             tcp::socket::message_peek, PeekFailure);
    if (!PeekFailure)
      return;
    if (PeekFailure == boost::asio::error::would_block) {
      watchForClose();
      return;
    }
    std::function<void()> Callback = std::move(OnAbandoned_);
    stopWatching();
    finishExchange();
    close();
    if (Callback)
      Callback();
  }

  /// Ends the wait for the handler's response.
  void stopWatching() {
    ResponsePending_ = false;
    OnAbandoned_ = nullptr;
  }

  /// Ends the current exchange, if there is one: its response has been sent, or
  /// its client is gone.
  void finishExchange() {
    if (ExchangeOpen_)
      --Server_->OpenExchanges_;
    ExchangeOpen_ = false;
  }

  void write(HttpResponse Source, bool KeepAlive) {
    Response_.emplace();
    Response_->version(11);
    Response_->result(Source.Status_);
    headersToBeast(Source.Headers_, *Response_);
    Response_->body() = std::move(Source.Body_);
    Response_->keep_alive(KeepAlive);
    Response_->prepare_payload();
    http::async_write(Stream_, *Response_,
                      [Self = shared_from_this(), KeepAlive](error_code Failure,
                                                             std::size_t) {
                        Self->Response_.reset();
                        Self->finishExchange();
                        if (Failure || !KeepAlive) {
                          Self->close();
                          return;
                        }
                        Self->readNext();
                      });
  }

  void close() {
    error_code Ignored;
    Stream_.socket().shutdown(tcp::socket::shutdown_both, Ignored);
    Stream_.socket().close(Ignored);
  }

  boost::beast::tcp_stream Stream_;
  std::shared_ptr<HttpServer::Impl> Server_;
  boost::beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  std::optional<http::response<http::string_body>> Response_;
  std::function<void()> OnAbandoned_;
  std::uint64_t RequestNumber_ = 0;
  bool ResponsePending_ = false;
  /// Whether the exchange is counted in Impl::OpenExchanges_.
  bool ExchangeOpen_ = false;
  bool Idle_ = false;
  /// Whether closeIfIdle() cancelled the pending read.
  bool IdleReadCancelled_ = false;
  bool KeepAlive_ = true;
};

/// Connects a handler to one request of a session, so that a late response is
/// never sent for another request.
class SessionExchange : public HttpExchange {
public:
  SessionExchange(std::shared_ptr<Session> Served, std::uint64_t Number)
      : Session_(std::move(Served)), RequestNumber_(Number) {}

  void respond(HttpResponse Response) override {
    Session_->respond(RequestNumber_, std::move(Response));
  }

  void onAbandoned(std::function<void()> Callback) override {
    Session_->setOnAbandoned(RequestNumber_, std::move(Callback));
  }

private:
  std::shared_ptr<Session> Session_;
  std::uint64_t RequestNumber_;
};

void Session::startExchange(HttpRequest Request) {
  ++RequestNumber_;
  ResponsePending_ = true;
  ExchangeOpen_ = true;
  ++Server_->OpenExchanges_;
  Stream_.expires_never();
  watchForClose();
  Server_->Handle_(std::move(Request), std::make_shared<SessionExchange>(
                                           shared_from_this(), RequestNumber_));
}

void startSession(const std::shared_ptr<HttpServer::Impl> &Server,
                  tcp::socket Socket) {
  configureSocket(Socket);
  std::make_shared<Session>(std::move(Socket), Server)->readNext();
}

void acceptNext(const std::shared_ptr<HttpServer::Impl> &Server) {
  Server->Acceptor_.async_accept(
      [Server](error_code Failure, tcp::socket Socket) {
        if (!Failure)
          startSession(Server, std::move(Socket));
        if (Server->Acceptor_.is_open())
          acceptNext(Server);
      });
}

/// Accepts the connections that clients have opened but the server has not
/// accepted yet. Closing the acceptor would reset them and lose their requests.
void acceptPending(const std::shared_ptr<HttpServer::Impl> &Server) {
  error_code Failure;
  Server->Acceptor_.non_blocking(true, Failure);
  while (!Failure) {
    tcp::socket Socket(Server->Acceptor_.get_executor());
    Server->Acceptor_.accept(Socket, Failure);
    if (!Failure)
      startSession(Server, std::move(Socket));
  }
}

} // namespace

HttpServer::HttpServer(IoLoop &Loop, HttpServerOptions Options, Handler Handle)
    : Impl_(
          std::make_shared<Impl>(Loop, std::move(Options), std::move(Handle))) {
  const tcp::endpoint Endpoint = parseEndpoint(Impl_->Options_.Address_);
  error_code Failure;
  Impl_->Acceptor_.open(Endpoint.protocol(), Failure);
  if (!Failure)
    Impl_->Acceptor_.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Impl_->Acceptor_.bind(Endpoint, Failure);
  if (!Failure)
    Impl_->Acceptor_.listen(ListenBacklog, Failure);
  if (Failure)
    throw Error(ErrorKind::Unavailable,
                "cannot listen on " + Impl_->Options_.Address_ + ": " +
                    Failure.message(),
                "choose an address of this host and a free port");
  acceptNext(Impl_);
}

HttpServer::~HttpServer() {
  error_code Ignored;
  Impl_->Acceptor_.close(Ignored);
}

std::string HttpServer::address() const {
  return formatEndpoint(Impl_->Acceptor_.local_endpoint());
}

void HttpServer::setLimits(const HttpServerOptions &Limits) {
  const std::string Address = Impl_->Options_.Address_;
  Impl_->Options_ = Limits;
  Impl_->Options_.Address_ = Address;
}

void HttpServer::disableKeepAlive() { Impl_->KeepAliveDisabled_ = true; }

void HttpServer::stopAccepting() {
  acceptPending(Impl_);
  error_code Ignored;
  Impl_->Acceptor_.close(Ignored);
}

void HttpServer::drain() {
  disableKeepAlive();
  const std::set<Session *> Sessions = Impl_->Sessions_;
  for (Session *Open : Sessions)
    Open->closeIfIdle();
  stopAccepting();
}

std::size_t HttpServer::openExchanges() const { return Impl_->OpenExchanges_; }

std::size_t HttpServer::openConnections() const {
  return Impl_->Sessions_.size();
}

} // namespace lagoonhitch

#include "net/http_server.h"

#include "core/error.h"
#include "net/address.h"
#include "net/http_session.h"
#include "net/socket_options.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <set>
#include <utility>

using boost::asio::ip::tcp;
using boost::beast::error_code;

namespace lagoonhitch {

namespace {

/// Maximum number of connections that are accepted in one turn of the loop.
constexpr std::size_t MaxAcceptedPerTurn = 128;
/// Maximum number of idle connections that are checked for a request before a
/// new connection is refused.
constexpr std::size_t MaxCheckedForInput = 16;

/// Returns the connection that has been idle for the longest time; nullptr if
/// none is idle.
HttpSession *longestIdle(const HttpServer::Impl &Server,
                         const std::set<HttpSession *> &Except) {
  HttpSession *Found = nullptr;
  for (HttpSession *Open : Server.Sessions_)
    if (Open->idleSince() && !Except.contains(Open) &&
        (Found == nullptr || *Open->idleSince() < *Found->idleSince()))
      Found = Open;
  return Found;
}

/// Closes the connection that has been idle for the longest time and on which
/// no request has arrived. Returns whether there was one.
bool closeLongestIdle(HttpServer::Impl &Server) {
  std::set<HttpSession *> WithInput;
  while (WithInput.size() < MaxCheckedForInput) {
    HttpSession *Found = longestIdle(Server, WithInput);
    if (Found == nullptr)
      return false;
    if (!Found->hasInput()) {
      Found->abandon(ConnectionEnd::Completed);
      return true;
    }
    WithInput.insert(Found);
  }
  return false;
}

/// Returns whether the client is still there.
bool startSession(const std::shared_ptr<HttpServer::Impl> &Server,
                  tcp::socket Socket) {
  if (Server->Sessions_.size() >= Server->Options_.MaxConnections_) {
    ++Server->Rejections_[static_cast<std::size_t>(
        RequestRejection::TooManyConnections)];
    if (!closeLongestIdle(*Server))
      return false;
  }
  configureSocket(Socket);
  return std::make_shared<HttpSession>(std::move(Socket), Server)->start();
}

/// Accepts a connection that a client has opened already, if there is one, and
/// starts its session.
/// \param Started set to whether the client is still there.
/// \returns whether there was one.
bool acceptOnePending(const std::shared_ptr<HttpServer::Impl> &Server,
                      bool &Started) {
  tcp::socket Socket(Server->Acceptor_.get_executor());
  error_code Failure;
  Server->Acceptor_.accept(Socket, Failure);
  if (Failure)
    return false;
  Started = startSession(Server, std::move(Socket));
  return true;
}

/// Accepts further connections in the same turn until the client of one is
/// still there. If each abandoned connection cost a turn of a busy loop, the
/// next ones would be abandoned when they are accepted.
void skipAbandoned(const std::shared_ptr<HttpServer::Impl> &Server) {
  bool Started = false;
  std::size_t Accepted = 1;
  while (!Started && Accepted < MaxAcceptedPerTurn &&
         acceptOnePending(Server, Started))
    ++Accepted;
}

void acceptNext(const std::shared_ptr<HttpServer::Impl> &Server) {
  Server->Acceptor_.async_accept(
      [Server](error_code Failure, tcp::socket Socket) {
        if (!Failure && !startSession(Server, std::move(Socket)))
          skipAbandoned(Server);
        if (Server->Acceptor_.is_open())
          acceptNext(Server);
      });
}

/// Accepts the connections that clients have opened but the server has not
/// accepted yet. Closing the acceptor would reset them and lose their requests.
void acceptAllPending(const std::shared_ptr<HttpServer::Impl> &Server) {
  bool Started = false;
  while (acceptOnePending(Server, Started))
    continue;
}

} // namespace

HttpServer::HttpServer(IoLoop &Loop, HttpServerOptions Options, Handler Handle,
                       OverlapRule MayOverlap)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options), std::move(Handle),
                                   std::move(MayOverlap))) {
  const tcp::endpoint Endpoint = parseEndpoint(Impl_->Options_.Address_);
  error_code Failure;
  Impl_->Acceptor_.open(Endpoint.protocol(), Failure);
  if (!Failure)
    Impl_->Acceptor_.set_option(tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Impl_->Acceptor_.bind(Endpoint, Failure);
  if (!Failure)
    Impl_->Acceptor_.listen(ListenBacklog, Failure);
  if (!Failure)
    Impl_->Acceptor_.non_blocking(true, Failure);
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

void HttpServer::setOnCut(CutCallback Callback) {
  Impl_->OnCut_ = std::move(Callback);
}

void HttpServer::checkClients(bool Enabled) { Impl_->ChecksClients_ = Enabled; }

void HttpServer::disableKeepAlive() { Impl_->KeepAliveDisabled_ = true; }

void HttpServer::stopAccepting() {
  acceptAllPending(Impl_);
  error_code Ignored;
  Impl_->Acceptor_.close(Ignored);
}

void HttpServer::drain() {
  disableKeepAlive();
  const std::set<HttpSession *> Sessions = Impl_->Sessions_;
  for (HttpSession *Open : Sessions)
    Open->closeIfIdle();
  stopAccepting();
}

std::size_t HttpServer::openExchanges() const { return Impl_->OpenExchanges_; }

bool HttpServer::isReceiving(const HttpHeader &Header,
                             Duration MaxSilence) const {
  return std::any_of(
      Impl_->Sessions_.begin(), Impl_->Sessions_.end(),
      [&](HttpSession *Open) { return Open->isReceiving(Header, MaxSilence); });
}

const RejectionCounts &HttpServer::rejections() const {
  return Impl_->Rejections_;
}

std::size_t HttpServer::openConnections() const {
  return Impl_->Sessions_.size();
}

} // namespace lagoonhitch

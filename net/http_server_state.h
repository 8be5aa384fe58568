#ifndef LAGOONHITCH_NET_HTTP_SERVER_STATE_H
#define LAGOONHITCH_NET_HTTP_SERVER_STATE_H

/// \file
/// State that an HTTP server shares with its connections. Internal to net/.

#include "net/http_server.h"
#include "net/io_loop_impl.h"
#include "net/memory_budget.h"
#include "net/request_rejection.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <set>
#include <utility>

namespace lagoonhitch {

class HttpSession;

/// State that an HTTP server shares with its connections.
struct HttpServer::Impl {
  Impl(IoLoop &Loop, HttpServerOptions Options, Handler Handle,
       OverlapRule MayOverlap)
      : Options_(std::move(Options)), Handle_(std::move(Handle)),
        MayOverlap_(std::move(MayOverlap)), Acceptor_(Loop.impl().Context_),
        Outputs_(Loop.impl().Outputs_),
        Budget_(Options_.Budget_ ? Options_.Budget_
                                 : std::make_shared<MemoryBudget>()) {}

  HttpServerOptions Options_;
  Handler Handle_;
  OverlapRule MayOverlap_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::shared_ptr<OutputMonitor> Outputs_;
  std::set<HttpSession *> Sessions_;
  std::shared_ptr<MemoryBudget> Budget_;
  RejectionCounts Rejections_{};
  std::size_t OpenExchanges_ = 0;
  CutCallback OnCut_;
  bool KeepAliveDisabled_ = false;
  /// Whether requests of clients that have left are dropped.
  bool ChecksClients_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_HTTP_SERVER_STATE_H

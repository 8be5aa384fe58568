#include "daemon/graceful_shutdown.h"

#include "daemon/digest_exchange.h"
#include "daemon/request_router.h"
#include "daemon/upstream_gateway.h"
#include "daemon/upstream_manager.h"
#include "net/http_server.h"
#include "net/io_loop.h"

#include <utility>

namespace lagoonhitch {

GracefulShutdown::GracefulShutdown(const Clock &Time, IoLoop &Loop,
                                   ShutdownParts Parts, EventCallback LogEvent)
    : Time_(Time), Loop_(Loop), Parts_(std::move(Parts)),
      LogEvent_(std::move(LogEvent)) {}

void GracefulShutdown::start(Instant RequestedAt, Duration Limit) {
  if (Plan_)
    return;
  LogEvent_(EventId::DaemonStopping, "");
  Plan_ = startShutdownPlan(RequestedAt, Time_.now(), Limit);
  for (HttpServer *Server : Parts_.CallerServers_)
    Server->disableKeepAlive();
  Parts_.UpstreamManager_.startHandover();
  Parts_.Digests_.sendNow();
}

void GracefulShutdown::tick() {
  if (!Plan_)
    return;
  if (advanceShutdown(*Plan_, load(), Time_.now()))
    enterPhase(Plan_->Phase_);
}

ShutdownLoad GracefulShutdown::load() const {
  ShutdownLoad Load;
  Load.OpenRequests_ = Parts_.Router_.openRequests() +
                       Parts_.PeerServer_.openExchanges() +
                       Parts_.Gateway_.openRequests();
  for (const HttpServer *Server : Parts_.CallerServers_)
    Load.OpenRequests_ += Server->openExchanges();
  Load.PeerConnections_ = Parts_.PeerServer_.openConnections();
  return Load;
}

void GracefulShutdown::enterPhase(ShutdownPhase Phase) {
  switch (Phase) {
  case ShutdownPhase::Serving:
    return;
  case ShutdownPhase::Reporting:
    Parts_.Digests_.sendToAll();
    return;
  case ShutdownPhase::Draining:
    startDraining();
    return;
  case ShutdownPhase::Lingering:
    Parts_.PeerServer_.stopAccepting();
    return;
  case ShutdownPhase::Ending:
    Parts_.Router_.endOpenRequests();
    return;
  case ShutdownPhase::Stopped:
    LogEvent_(EventId::DaemonStopped, "");
    Loop_.stop();
    return;
  }
}

void GracefulShutdown::startDraining() {
  Parts_.Router_.stopAccepting();
  for (HttpServer *Server : Parts_.CallerServers_)
    Server->drain();
  Parts_.PeerServer_.disableKeepAlive();
  Parts_.UpstreamManager_.stopAdmitting();
  // Peers stop opening connections before the port closes.
  Parts_.Digests_.sendToAll();
}

} // namespace lagoonhitch

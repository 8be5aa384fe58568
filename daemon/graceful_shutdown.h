#ifndef LAGOONHITCH_DAEMON_GRACEFUL_SHUTDOWN_H
#define LAGOONHITCH_DAEMON_GRACEFUL_SHUTDOWN_H

/// \file
/// Runs the graceful shutdown of a daemon.

#include "core/event_catalog.h"
#include "daemon/shutdown_plan.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

class DigestExchange;
class HttpServer;
class IoLoop;
class RequestRouter;
class UpstreamGateway;
class UpstreamManager;

/// The parts of a daemon that take part in its shutdown.
struct ShutdownParts {
  std::vector<HttpServer *> CallerServers_;
  HttpServer &PeerServer_;
  RequestRouter &Router_;
  UpstreamGateway &Gateway_;
  UpstreamManager &UpstreamManager_;
  DigestExchange &Digests_;
};

/// Takes a daemon through the phases of a ShutdownPlan and then stops its loop.
/// Serving thread only.
class GracefulShutdown {
public:
  /// Logs an event and what it is about.
  using EventCallback = std::function<void(EventId, const std::string &)>;

  GracefulShutdown(const Clock &Time, IoLoop &Loop, ShutdownParts Parts,
                   EventCallback LogEvent);

  /// Starts the shutdown, unless it is in progress.
  /// \param RequestedAt when it was requested.
  /// \param Limit how long it may take from then on.
  void start(Instant RequestedAt, Duration Limit);

  /// Enters the next phase if it is due. To be called periodically; has no
  /// effect before start().
  void tick();

  /// Returns whether the shutdown has started.
  bool isInProgress() const { return Plan_.has_value(); }

private:
  ShutdownLoad load() const;
  void enterPhase(ShutdownPhase Phase);
  void startDraining();

  const Clock &Time_;
  IoLoop &Loop_;
  ShutdownParts Parts_;
  EventCallback LogEvent_;
  std::optional<ShutdownPlan> Plan_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_GRACEFUL_SHUTDOWN_H

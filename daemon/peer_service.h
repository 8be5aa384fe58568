#ifndef LAGOONHITCH_DAEMON_PEER_SERVICE_H
#define LAGOONHITCH_DAEMON_PEER_SERVICE_H

/// \file
/// Handles requests from other daemons.

#include "core/clock.h"
#include "core/request_id.h"
#include "daemon/peer_delay.h"
#include "net/http_exchange.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lagoonhitch {

class StoreClient;
class UpstreamGateway;

/// Handles requests from other daemons: forwarded requests, attempt status
/// queries and calls to be relayed to the store. Serving thread only.
class PeerService {
public:
  /// \param Gateway the gateway of the local upstream.
  /// \param Store the client that relays calls to the store.
  /// Returns whether the rest of an attempt's request is being received.
  using ArrivalCheck = std::function<bool(const RequestId &)>;

  /// \param Process the daemon's process ID.
  PeerService(const Clock &Time, UpstreamGateway &Gateway, StoreClient &Store,
              std::uint64_t Process, ArrivalCheck IsArriving);

  /// Handles a request from a peer. Responds with status 400 to a malformed
  /// forwarded request, 404 to an unknown target, and 503 or 504 if a relayed
  /// call could not be sent or had no response.
  void handle(HttpRequest Request,
              const std::shared_ptr<HttpExchange> &Exchange);

  /// Removes the state of peers that have sent nothing for a while. To be
  /// called periodically.
  void tick() { removeIdlePeers(Delays_, Time_.now()); }

private:
  void handleForwardedRequest(HttpRequest Request,
                              const std::shared_ptr<HttpExchange> &Exchange);
  void answerStatusQuery(const HttpRequest &Request, HttpExchange &Exchange);
  void relayToStore(HttpRequest Request,
                    const std::shared_ptr<HttpExchange> &Exchange);

  const Clock &Time_;
  UpstreamGateway &Gateway_;
  StoreClient &Store_;
  std::uint64_t Process_;
  ArrivalCheck IsArriving_;
  PeerDelays Delays_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_PEER_SERVICE_H

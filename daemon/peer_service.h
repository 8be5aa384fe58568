#ifndef LAGOONHITCH_DAEMON_PEER_SERVICE_H
#define LAGOONHITCH_DAEMON_PEER_SERVICE_H

/// \file
/// Answers other daemons.

#include "core/clock.h"
#include "daemon/peer_delay.h"
#include "net/http_exchange.h"

#include <cstdint>
#include <memory>

namespace lagoonhitch {

class StoreClient;
class UpstreamGateway;

/// Answers other daemons: forwarded requests, questions what became of one,
/// and calls to the store that are to be passed on. Serving thread only.
class PeerService {
public:
  /// \param Process the random number of this process.
  PeerService(const Clock &Time, UpstreamGateway &Gateway, StoreClient &Store,
              std::uint64_t Process);

  /// Handles a message of a peer.
  void handle(HttpRequest Request,
              const std::shared_ptr<HttpExchange> &Exchange);

  /// Forgets what it knows of peers that are gone.
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
  PeerDelays Delays_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_PEER_SERVICE_H

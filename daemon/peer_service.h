#ifndef LAGOONHITCH_DAEMON_PEER_SERVICE_H
#define LAGOONHITCH_DAEMON_PEER_SERVICE_H

/// \file
/// Answers other daemons: forwarded requests, look-ups, cancellations.

#include "daemon/peer_protocol.h"
#include "net/http_exchange.h"

#include <memory>

namespace lagoonhitch {

class OwnerService;

/// Translates between the peer protocol and the OwnerService.
class PeerService {
public:
  /// \param Process the random number of this process.
  PeerService(const Clock &Time, OwnerService &Owner, std::uint64_t Process);

  /// Handles a request from another daemon.
  void handle(HttpRequest Request,
              const std::shared_ptr<HttpExchange> &Exchange);

  /// Returns the stamp that peers estimate this process's clock from.
  PeerStamp stamp() const;

private:
  void handleForward(HttpRequest Request,
                     const std::shared_ptr<HttpExchange> &Exchange);
  void handleLookUp(const HttpRequest &Request, HttpExchange &Exchange);
  void handleCancel(const HttpRequest &Request, HttpExchange &Exchange);

  const Clock &Time_;
  OwnerService &Owner_;
  std::uint64_t Process_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_PEER_SERVICE_H

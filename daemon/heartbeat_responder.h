#ifndef LAGOONHITCH_DAEMON_HEARTBEAT_RESPONDER_H
#define LAGOONHITCH_DAEMON_HEARTBEAT_RESPONDER_H

/// \file
/// Responses to the local upstream's heartbeats.

#include "core/clock.h"

#include <memory>

namespace lagoonhitch {

class HttpExchange;
class OwnershipManager;

/// Responds to the heartbeats of an upstream. If the upstream gets its keys in
/// the responses, a response may wait for a change of the keys, so that the
/// change does not have to wait for the next heartbeat. Serving thread only.
class HeartbeatResponder {
public:
  HeartbeatResponder(const Clock &Time, OwnershipManager &Ownership);

  /// Responds to the upstream's newest heartbeat, at once or later.
  /// \param Delayable whether the response may wait for a change.
  void respondTo(const std::shared_ptr<HttpExchange> &Exchange, bool Delayable);

  /// Sends the pending response if it is due or if the keys have changed. To be
  /// called several times a second and after each change of the keys.
  void tick();

private:
  void respond(HttpExchange &Exchange, Instant ReceivedAt);
  void replacePending();

  const Clock &Time_;
  OwnershipManager &Ownership_;
  /// The heartbeat without a response; nullptr if there is none.
  std::shared_ptr<HttpExchange> Pending_;
  Instant ReceivedAt_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_HEARTBEAT_RESPONDER_H

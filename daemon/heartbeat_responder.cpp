#include "daemon/heartbeat_responder.h"

#include "daemon/ownership_manager.h"
#include "net/http_exchange.h"
#include "platform/platform_codec.h"

#include <utility>

namespace lagoonhitch {

namespace {

/// Maximum time that a response waits for a change of the keys. The upstream
/// ignores a response after a second.
constexpr std::chrono::milliseconds MaxResponseDelay{500};

HttpResponse heartbeatResponse(const std::string &Body) {
  HttpResponse Response;
  Response.Status_ = 200;
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = Body;
  return Response;
}

} // namespace

HeartbeatResponder::HeartbeatResponder(const Clock &Time,
                                       OwnershipManager &Ownership)
    : Time_(Time), Ownership_(Ownership) {}

void HeartbeatResponder::respondTo(
    const std::shared_ptr<HttpExchange> &Exchange, bool Delayable) {
  replacePending();
  const Instant Now = Time_.now();
  if (!Delayable || !Ownership_.usesHeartbeatReplies()) {
    respond(*Exchange, Now);
    return;
  }
  Pending_ = Exchange;
  ReceivedAt_ = Now;
  tick();
}

void HeartbeatResponder::tick() {
  if (Pending_ == nullptr)
    return;
  const bool Due = Time_.now() - ReceivedAt_ >= MaxResponseDelay ||
                   Ownership_.needsDeclaration();
  if (!Due)
    return;
  // The response may change the keys, which calls tick() again.
  const std::shared_ptr<HttpExchange> Exchange = std::exchange(Pending_, {});
  respond(*Exchange, ReceivedAt_);
}

void HeartbeatResponder::respond(HttpExchange &Exchange, Instant ReceivedAt) {
  Exchange.respond(heartbeatResponse(
      encodeHeartbeatReply(Ownership_.declareHolds(ReceivedAt))));
}

/// Responds to an earlier heartbeat without declaring keys, since the upstream
/// may receive that response after the one to its newest heartbeat.
void HeartbeatResponder::replacePending() {
  if (Pending_ == nullptr)
    return;
  const std::shared_ptr<HttpExchange> Exchange = std::exchange(Pending_, {});
  Exchange->respond(heartbeatResponse(encodeHeartbeatReply(std::nullopt)));
}

} // namespace lagoonhitch

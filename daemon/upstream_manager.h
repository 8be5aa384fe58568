#ifndef LAGOONHITCH_DAEMON_UPSTREAM_MANAGER_H
#define LAGOONHITCH_DAEMON_UPSTREAM_MANAGER_H

/// \file
/// Looks after the upstream beside a daemon.

#include "core/clock.h"
#include "core/event_catalog.h"
#include "daemon/site_state.h"
#include "membership/upstream_incarnation.h"
#include "net/header_names.h"
#include "net/http_exchange.h"
#include "store/store_record.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace lagoonhitch {

class HttpClient;
class KeyKeeper;
class Store;
class UpstreamGateway;
struct HttpResult;

/// Where an upstream stands, and how its daemon is reached.
struct UpstreamPlace {
  std::string Host_;
  std::string Zone_;
  std::string Service_;
  std::string UpstreamAddress_;
  std::string PeerAddress_;
  std::string DigestAddress_;
  std::uint64_t Process_ = 0;
};

/// Takes the upstream's heartbeats, asks for its health, opens and closes its
/// door, and tells the other daemons. Serving thread only.
class UpstreamKeeper {
public:
  using Report = std::function<void(EventId, const std::string &)>;
  /// Passes the own member record on to the peers.
  using PassMember = std::function<void(const StoreRecord &)>;

  UpstreamKeeper(const Clock &Time, Store &Members, HttpClient &Upstreams,
                 SiteState &Site, UpstreamGateway &Gateway, KeyKeeper &Keys,
                 HeaderNames Names, UpstreamPlace Place, Report Tell,
                 PassMember Pass);

  /// Handles a heartbeat or a farewell.
  void handle(const HttpRequest &Request, HttpExchange &Exchange);

  /// Notices that the upstream's address refuses connections.
  void onRefused();

  /// Notices another manifest, or other evacuated zones.
  void onSiteChanged();

  /// Hands the upstream's keys over, since this daemon stops.
  void handOver();

  /// Lets nothing more in.
  void closeDoor();

  /// Does what is due.
  void tick();

  const std::optional<UpstreamIncarnation> &life() const { return Life_; }

private:
  void takeDelete(const std::string &Upstream);
  void takeBeat(const UpstreamHeartbeat &Heard, HttpExchange &Exchange);
  void onLifeChanged();
  void updateDoor();
  void checkHealth();
  void askHealth();
  void onHealth(const std::string &Asked, const HttpResult &Result);
  void applyCold(std::chrono::milliseconds For);
  const ServiceSpec *spec() const;
  bool isEvacuated() const;
  MemberRecord ownRecord() const;
  void publishMember();

  const Clock &Time_;
  Store &Members_;
  HttpClient &Upstreams_;
  SiteState &Site_;
  UpstreamGateway &Gateway_;
  KeyKeeper &Keys_;
  HeaderNames Names_;
  UpstreamPlace Place_;
  Report Tell_;
  PassMember Pass_;
  std::optional<UpstreamIncarnation> Life_;
  /// The last farewell that was not of that life; it was acknowledged too.
  std::optional<EarlyDeregistration> EarlyFarewell_;
  /// The life that the door was opened for.
  std::string OpenLife_;
  bool AskingHealth_ = false;
  std::optional<Instant> HealthAskedAt_;
  bool WasEvacuated_ = false;
  /// Whether it must be found out first if the upstream is cold.
  bool ColdUnknown_ = true;
  bool HandsOver_ = false;
  bool Closed_ = false;
  MemberRecord Published_;
  bool Publishing_ = false;
  Instant PublishAt_ = Instant::min();
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_UPSTREAM_MANAGER_H

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
class OwnershipManager;
class Store;
class UpstreamGateway;
struct HttpResult;

/// Where an upstream stands, and how its daemon is reached.
struct UpstreamManagerConfig {
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
class UpstreamManager {
public:
  using EventCallback = std::function<void(EventId, const std::string &)>;
  /// Passes the own member record on to the peers.
  using MemberCallback = std::function<void(const StoreRecord &)>;

  UpstreamManager(const Clock &Time, Store &MemberStore,
                  HttpClient &UpstreamClient, SiteState &Site,
                  UpstreamGateway &Gateway, OwnershipManager &Ownership,
                  HeaderNames Names, UpstreamManagerConfig Config,
                  EventCallback LogEvent, MemberCallback PushMember);

  /// Handles a heartbeat or a farewell.
  void handle(const HttpRequest &Request, HttpExchange &Exchange);

  /// Notices that the upstream's address refuses connections.
  void onConnectionRefused();

  /// Notices another manifest, or other evacuated zones.
  void onSiteChanged();

  /// Hands the upstream's keys over, since this daemon stops.
  void startHandover();

  /// Lets nothing more in.
  void stopAdmitting();

  /// Does what is due.
  void tick();

  const std::optional<UpstreamIncarnation> &incarnation() const {
    return Incarnation_;
  }

private:
  void handleDeregistration(const std::string &Upstream);
  void handleHeartbeat(const UpstreamHeartbeat &Heartbeat,
                       HttpExchange &Exchange);
  void onStateChanged();
  void updateAdmission();
  void checkHealth();
  void sendHealthCheck();
  void onHealthResult(const std::string &Incarnation, const HttpResult &Result);
  void applyColdStart(std::chrono::milliseconds ColdFor);
  const ServiceSpec *serviceSpec() const;
  bool isEvacuated() const;
  MemberRecord memberRecord() const;
  void publishMember();

  const Clock &Time_;
  Store &MemberStore_;
  HttpClient &UpstreamClient_;
  SiteState &Site_;
  UpstreamGateway &Gateway_;
  OwnershipManager &Ownership_;
  HeaderNames Names_;
  UpstreamManagerConfig Config_;
  EventCallback LogEvent_;
  MemberCallback PushMember_;
  std::optional<UpstreamIncarnation> Incarnation_;
  /// The last farewell that was not of that life; it was acknowledged too.
  std::optional<EarlyDeregistration> EarlyDeregistration_;
  /// The life that the door was opened for.
  std::string AdmittedIncarnation_;
  bool HealthCheckInFlight_ = false;
  std::optional<Instant> HealthCheckedAt_;
  bool WasEvacuated_ = false;
  /// Whether it must be found out first if the upstream is cold.
  bool ColdStateUnknown_ = true;
  bool HandingOver_ = false;
  bool AdmissionStopped_ = false;
  MemberRecord PublishedRecord_;
  bool Publishing_ = false;
  Instant NextPublishAt_ = Instant::min();
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_UPSTREAM_MANAGER_H

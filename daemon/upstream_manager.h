#ifndef LAGOONHITCH_DAEMON_UPSTREAM_MANAGER_H
#define LAGOONHITCH_DAEMON_UPSTREAM_MANAGER_H

/// \file
/// Manages the state of the local upstream.

#include "core/clock.h"
#include "core/event_catalog.h"
#include "daemon/heartbeat_responder.h"
#include "daemon/site_state.h"
#include "membership/upstream_incarnation.h"
#include "net/header_names.h"
#include "net/http_exchange.h"
#include "store/store_record.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lagoonhitch {

class HttpClient;
class OwnershipManager;
class Store;
class UpstreamGateway;
struct HttpResult;
struct LostRun;

/// Identity and addresses of the local upstream and of its daemon.
struct UpstreamManagerConfig {
  std::string Host_;
  std::string Zone_;
  std::string Service_;
  /// `ip:port` of the upstream.
  std::string UpstreamAddress_;
  /// `ip:port` where the daemon accepts forwarded requests.
  std::string PeerAddress_;
  /// `ip:port` where the daemon receives load digests.
  std::string DigestAddress_;
  /// Random number that identifies the daemon's process.
  std::uint64_t Process_ = 0;
};

/// Receives the local upstream's heartbeats, checks its health, controls
/// admission to it, and publishes its state to the other daemons. Serving
/// thread only.
class UpstreamManager {
public:
  /// Logs an event and what it is about.
  using EventCallback = std::function<void(EventId, const std::string &)>;
  /// Pushes a record of a topic to the peers.
  using PushCallback =
      std::function<void(const std::string &Topic, const StoreRecord &)>;

  /// \param UpstreamClient sends health checks.
  /// \param LogEvent logs changes of the upstream's state.
  /// \param PushRecord is called for each member record that the store has
  /// acknowledged, and for new crashes before that.
  UpstreamManager(const Clock &Time, Store &MemberStore,
                  HttpClient &UpstreamClient, SiteState &Site,
                  UpstreamGateway &Gateway, OwnershipManager &Ownership,
                  HeaderNames Names, UpstreamManagerConfig Config,
                  EventCallback LogEvent, PushCallback PushRecord);

  /// Handles an HTTP request that carries a heartbeat or a deregistration.
  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpExchange> &Exchange);

  /// Sends the upstream no more requests until its next heartbeat: its address
  /// refuses connections. Its keys may be reassigned before their holds end
  /// once it has ended its connections, too.
  void onConnectionRefused();

  /// Records requests that the gateway has lost, if the upstream is known to
  /// have crashed. Some are lost only after that is noticed.
  void onRunsLost();

  /// Marks the upstream as draining: it states in a response that it is about
  /// to terminate. Its heartbeats may not report that.
  void onLeavingStated();

  /// Sends the keys to the upstream that it waits for, if that is possible
  /// now.
  void onKeysChanged() { Responder_.tick(); }

  /// Writes the member record once more, after the store was restored from an
  /// older copy.
  void onStoreRestored();

  /// Reevaluates admission after a change of the manifest or of the evacuated
  /// zones.
  void onSiteChanged();

  /// Starts to move the upstream's keys to other hosts before this daemon shuts
  /// down.
  void startHandover();

  /// Rejects all further requests to the upstream.
  void stopAdmitting();

  /// Sends due health checks and publishes a changed member record. To be
  /// called several times a second.
  void tick();

  /// Returns the upstream's current incarnation; std::nullopt before its first
  /// heartbeat.
  const std::optional<UpstreamIncarnation> &incarnation() const {
    return Incarnation_;
  }

private:
  void handleDeregistration(const std::string &Upstream);
  void handleHeartbeat(const UpstreamHeartbeat &Heartbeat,
                       const std::shared_ptr<HttpExchange> &Exchange);
  void logReturn(bool WasLost);
  void onStateChanged();
  void applyRecordedDrain();
  void recordCrash();
  std::string describeLostRun(const LostRun &Run) const;
  void updateAdmission();
  void checkTermination();
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
  PushCallback PushRecord_;
  HeartbeatResponder Responder_;
  std::optional<UpstreamIncarnation> Incarnation_;
  /// The last deregistration of an upstream other than Incarnation_. It was
  /// acknowledged, so it also applies to heartbeats that arrive after it.
  std::optional<EarlyDeregistration> EarlyDeregistration_;
  /// `id/start` of the incarnation that the gateway was last reset for.
  std::string AdmittedIncarnation_;
  /// The same incarnation's identifier and start time.
  std::string AdmittedUpstream_;
  std::int64_t AdmittedStartMillis_ = 0;
  bool HealthCheckInFlight_ = false;
  std::optional<Instant> HealthCheckedAt_;
  bool WasEvacuated_ = false;
  /// Whether the upstream gets no requests until it has answered a health
  /// check: it may have become cold or have stated a rate limit or its end
  /// before this daemon was started or while its zone was evacuated.
  bool AwaitsHealthCheck_ = true;
  /// Connections that the upstream had ended before its last heartbeat.
  std::size_t LostBeforeHeartbeat_ = 0;
  bool HandingOver_ = false;
  bool AdmissionStopped_ = false;
  MemberRecord PublishedRecord_;
  bool Publishing_ = false;
  Instant NextPublishAt_ = Instant::min();
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_UPSTREAM_MANAGER_H

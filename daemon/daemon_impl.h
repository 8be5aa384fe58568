#ifndef LAGOONHITCH_DAEMON_DAEMON_IMPL_H
#define LAGOONHITCH_DAEMON_DAEMON_IMPL_H

/// \file
/// The components of a daemon and what connects them. For the implementation
/// files of Daemon only.

#include "daemon/admin_service.h"
#include "daemon/caller_interface.h"
#include "daemon/daemon.h"
#include "daemon/digest_exchange.h"
#include "daemon/event_recorder.h"
#include "daemon/graceful_shutdown.h"
#include "daemon/loop_lag.h"
#include "daemon/memory_report.h"
#include "daemon/ownership_manager.h"
#include "daemon/peer_service.h"
#include "daemon/request_router.h"
#include "daemon/site_state.h"
#include "daemon/site_watcher.h"
#include "daemon/upstream_gateway.h"
#include "daemon/upstream_manager.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "net/memory_budget.h"
#include "observe/audit_trail.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "platform/store_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Components are declared in the order in which they depend on each other.
struct Daemon::Impl {
  Impl(const Clock &Time, DaemonSettings Settings, SettingsReader ReadSettings,
       std::uint64_t Process);

  OwnershipCallbacks ownershipCallbacks();
  KeyHooks keyHooks();
  GatewayCallbacks gatewayCallbacks();
  SiteCallbacks siteCallbacks();
  UpstreamManagerConfig upstreamConfig() const;
  std::unique_ptr<HttpServer> openReadyServer();
  std::unique_ptr<HttpServer> openInternalServer();
  std::vector<HttpServer *> callerServers();
  void reportCuts();
  std::vector<HttpServer *> budgetedServers();
  HttpServerOptions withBudget(HttpServerOptions Options) const;
  void reportMemory();
  void logStart();
  void onManifest();
  void announceOperatorRecords();
  void handleReadiness(HttpExchange &Exchange) const;
  LoadDigest makeDigest();
  void pushRecord(const std::string &Topic, const StoreRecord &Record);
  void pushTable(const KeyTable &Before, const KeyTable &Table);
  std::string chooseRelay();
  void onStoreEra(StoreEra Era, std::optional<StoreEra> Known);
  void tick();
  void runDuty(const std::function<void()> &Run);
  void measureLoopLag();
  void startShutdown(Instant RequestedAt);
  void reloadSettings();

  const Clock &Time_;
  DaemonSettings Settings_;
  SettingsReader ReadSettings_;
  std::uint64_t Process_;
  HeaderNames Names_;
  EventLog Events_;
  AuditTrail Trail_;
  Metrics Metrics_;
  EventRecorder Recorder_;
  std::mt19937_64 Random_;
  /// Shared by all servers; outlives them.
  std::shared_ptr<MemoryBudget> Budget_;
  IoLoop Loop_;
  SiteState Site_;
  std::unique_ptr<CallerInterface> PublicInterface_;
  std::unique_ptr<CallerInterface> InternalInterface_;
  HttpClient UpstreamClient_;
  HttpClient PeerClient_;
  HttpClient StoreCallClient_;
  HttpClient StorePollClient_;
  StoreClient Store_;
  OwnershipManager Ownership_;
  UpstreamGateway Gateway_;
  RequestRouter Router_;
  SiteWatcher Watcher_;
  PeerService PeerService_;
  HttpServer PeerServer_;
  DigestExchange Digests_;
  UpstreamManager UpstreamManager_;
  AdminService AdminService_;
  HttpServer HeartbeatServer_;
  HttpServer AdminServer_;
  HttpServer CallerServer_;
  std::unique_ptr<HttpServer> ReadyServer_;
  std::unique_ptr<HttpServer> InternalServer_;

  std::uint64_t DigestSequence_ = 0;
  std::shared_ptr<void> TickTimer_;
  LoopLag Lag_;
  MemoryReport MemoryReport_;
  GracefulShutdown Shutdown_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DAEMON_IMPL_H

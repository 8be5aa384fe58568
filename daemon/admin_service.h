#ifndef LAGOONHITCH_DAEMON_ADMIN_SERVICE_H
#define LAGOONHITCH_DAEMON_ADMIN_SERVICE_H

/// \file
/// The operators' HTTP interface.

#include "core/clock.h"
#include "daemon/site_state.h"
#include "net/http_exchange.h"

namespace lagoonhitch {

class AuditTrail;
class OwnershipManager;
class Metrics;
class StoreClient;
class UpstreamGateway;
struct DaemonSettings;

/// Serves a daemon's status, the owner of a key, the audit trail and metrics to
/// operators. Serving thread only.
class AdminService {
public:
  AdminService(const Clock &Time, const DaemonSettings &Settings,
               const SiteState &Site, const OwnershipManager &Ownership,
               const UpstreamGateway &Gateway, const StoreClient &PlatformStore,
               const AuditTrail &Trail, Metrics &DaemonMetrics);

  /// Handles a request to the admin address.
  void handle(const HttpRequest &Request, HttpExchange &Exchange);

private:
  HttpResponse status() const;
  HttpResponse explain(const HttpRequest &Request) const;
  HttpResponse audit(const HttpRequest &Request) const;
  HttpResponse metrics();

  const Clock &Time_;
  const DaemonSettings &Settings_;
  const SiteState &Site_;
  const OwnershipManager &Ownership_;
  const UpstreamGateway &Gateway_;
  const StoreClient &PlatformStore_;
  const AuditTrail &Trail_;
  Metrics &DaemonMetrics_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_ADMIN_SERVICE_H

#ifndef LAGOONHITCH_DAEMON_ADMIN_SERVICE_H
#define LAGOONHITCH_DAEMON_ADMIN_SERVICE_H

/// \file
/// Answers operators.

#include "core/clock.h"
#include "daemon/site_state.h"
#include "net/http_exchange.h"

namespace lagoonhitch {

class AuditTrail;
class KeyKeeper;
class Metrics;
class StoreClient;
class UpstreamGateway;
struct DaemonSettings;

/// Handles status, explanations, the audit trail and metrics. Serving thread
/// only.
class AdminService {
public:
  AdminService(const Clock &Time, const DaemonSettings &Settings,
               const SiteState &Site, const KeyKeeper &Keys,
               const UpstreamGateway &Gateway, const StoreClient &Source,
               const AuditTrail &Trail, Metrics &Numbers);

  /// Handles a request at the admin address.
  void handle(const HttpRequest &Request, HttpExchange &Exchange);

private:
  HttpResponse status() const;
  HttpResponse explain(const HttpRequest &Request) const;
  HttpResponse audit(const HttpRequest &Request) const;
  HttpResponse metrics();

  const Clock &Time_;
  const DaemonSettings &Settings_;
  const SiteState &Site_;
  const KeyKeeper &Keys_;
  const UpstreamGateway &Gateway_;
  const StoreClient &Source_;
  const AuditTrail &Trail_;
  Metrics &Numbers_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_ADMIN_SERVICE_H

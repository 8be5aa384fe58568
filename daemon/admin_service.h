#ifndef LAGOONHITCH_DAEMON_ADMIN_SERVICE_H
#define LAGOONHITCH_DAEMON_ADMIN_SERVICE_H

/// \file
/// Answers upstreams beside the daemon and operators.

#include "daemon/serving_state.h"
#include "net/http_exchange.h"
#include "settings/daemon_settings.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace lagoonhitch {

class AuditTrail;
class Metrics;
class OwnerService;

/// Handles announcements, status, explanations, the audit trail and metrics.
/// Serving thread only.
class AdminService {
public:
  AdminService(const Clock &Time, const ServingState &Serving,
               const DaemonSettings &Settings, OwnerService &Owner,
               const AuditTrail &Trail, Metrics &Numbers);

  /// Handles a request at the admin address.
  void handle(const HttpRequest &Request, HttpExchange &Exchange);

private:
  HttpResponse announce(const HttpRequest &Request);
  HttpResponse status() const;
  HttpResponse explain(const HttpRequest &Request) const;
  HttpResponse audit(const HttpRequest &Request) const;
  HttpResponse metrics();

  const Clock &Time_;
  const ServingState &Serving_;
  const DaemonSettings &Settings_;
  OwnerService &Owner_;
  const AuditTrail &Trail_;
  Metrics &Numbers_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_ADMIN_SERVICE_H

#ifndef LAGOONHITCH_DAEMON_SETTINGS_CALLER_INTERFACE_H
#define LAGOONHITCH_DAEMON_SETTINGS_CALLER_INTERFACE_H

/// \file
/// Callers of the services that the site's own settings define.

#include "daemon/caller_interface.h"
#include "settings/service_settings.h"

#include <vector>

namespace lagoonhitch {

/// Callers of the services that the site's own settings define: found by the
/// first part of the path, with an outcome on each answer.
class SettingsCallerInterface : public CallerInterface {
public:
  /// \param Internal whether callers may use internal services.
  SettingsCallerInterface(std::vector<ServiceSettings> Services, bool Internal);

  RoutedRequest route(const HttpRequest &Request,
                      std::uint64_t Draw) const override;
  void addResponseHeaders(HttpResponse &Response, const RoutedRequest &Request,
                          Outcome FinalOutcome) const override;

private:
  std::vector<ServiceSettings> Services_;
  bool Internal_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_SETTINGS_CALLER_INTERFACE_H

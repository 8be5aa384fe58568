#ifndef LAGOONHITCH_DAEMON_SETTINGS_CALLER_INTERFACE_H
#define LAGOONHITCH_DAEMON_SETTINGS_CALLER_INTERFACE_H

/// \file
/// Routes callers' requests by the services that the settings define.

#include "daemon/caller_interface.h"
#include "settings/service_settings.h"

#include <vector>

namespace lagoonhitch {

/// Routes callers' requests by the services that the daemon's settings define.
/// The first segment of the path selects the service, and each response has a
/// header with the outcome.
class SettingsCallerInterface : public CallerInterface {
public:
  /// \param Services the services of the settings.
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

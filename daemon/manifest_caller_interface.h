#ifndef LAGOONHITCH_DAEMON_MANIFEST_CALLER_INTERFACE_H
#define LAGOONHITCH_DAEMON_MANIFEST_CALLER_INTERFACE_H

/// \file
/// Routes callers' requests by the manifest.

#include "daemon/caller_interface.h"
#include "daemon/site_state.h"
#include "net/header_names.h"

namespace lagoonhitch {

/// Routes callers' requests by the manifest that operators publish in the
/// store.
class ManifestCallerInterface : public CallerInterface {
public:
  /// \param Site provides the manifest in force.
  /// \param Names the names of the headers used by callers.
  ManifestCallerInterface(const SiteState &Site, HeaderNames Names);

  RoutedRequest route(const HttpRequest &Request,
                      std::uint64_t Draw) const override;
  void addResponseHeaders(HttpResponse &Response, const RoutedRequest &Request,
                          Outcome FinalOutcome) const override;

private:
  const SiteState &Site_;
  HeaderNames Names_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_MANIFEST_CALLER_INTERFACE_H

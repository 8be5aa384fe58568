#ifndef LAGOONHITCH_DAEMON_DAEMON_OPTIONS_H
#define LAGOONHITCH_DAEMON_DAEMON_OPTIONS_H

/// \file
/// Derives the options of a daemon's parts from its settings.

#include "limits/shared_retry_budget.h"
#include "manifest/manifest.h"
#include "net/http_client.h"
#include "net/http_server_options.h"
#include "net/memory_budget.h"
#include "ownership/key_ownership_options.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace lagoonhitch {

struct DaemonSettings;
struct SiteBounds;

/// Returns the options of a client for upstreams or the store.
HttpClientOptions clientOptions(std::chrono::milliseconds MaxIdleTime,
                                std::chrono::milliseconds ConnectTimeout);

/// Returns the options of the client for other daemons.
HttpClientOptions peerClientOptions();

/// Returns the size of the memory budget of the servers for callers and other
/// daemons.
/// \param MaxBodyBytes the maximum size of one body, which always fits.
MemoryBudgetOptions budgetOptions(std::size_t MemoryMegabytes,
                                  std::size_t MaxBodyBytes);

/// Returns how many connections of callers a daemon keeps open. The others are
/// for files, upstreams, other daemons and the store.
std::size_t maxCallerConnections(std::size_t MaxDescriptors);

/// Returns the options of a server that listens on an address.
HttpServerOptions serverOptions(const std::string &Address);

/// Returns the options of the server for other daemons.
HttpServerOptions peerServerOptions(const std::string &Address);

/// Returns the options of the server for other daemons once a manifest is
/// known. Each request that a daemon accepts from a caller can be forwarded.
HttpServerOptions peerServerOptions(const std::string &Address,
                                    const CallerLimits &Limits);

/// Returns the options of a server for callers, until a manifest is known.
HttpServerOptions callerServerOptions(const DaemonSettings &Settings,
                                      const std::string &Address);

/// Returns the options of the retry budgets.
SharedRetryBudgetOptions retryBudgetOptions(const SiteBounds &Bounds);

/// Returns the options of key ownership.
KeyOwnershipOptions ownershipOptions(const DaemonSettings &Settings);

/// Builds the manifest of a daemon whose settings define the services.
Manifest manifestFromSettings(const DaemonSettings &Settings);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_DAEMON_OPTIONS_H

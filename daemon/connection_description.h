#ifndef LAGOONHITCH_DAEMON_CONNECTION_DESCRIPTION_H
#define LAGOONHITCH_DAEMON_CONNECTION_DESCRIPTION_H

/// \file
/// Describes in log lines how connections to a daemon ended.

#include "net/connection_cut.h"

#include <string>

namespace lagoonhitch {

/// Describes why the connection of a request ended before its response.
/// \param End why it ended.
std::string describeCallerEnd(ConnectionEnd End);

/// Describes a connection that was cut.
/// \param Address the server's address.
std::string describeCut(const std::string &Address, const ConnectionCut &Cut);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_CONNECTION_DESCRIPTION_H

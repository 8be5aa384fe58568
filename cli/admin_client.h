#ifndef LAGOONHITCH_CLI_ADMIN_CLIENT_H
#define LAGOONHITCH_CLI_ADMIN_CLIENT_H

/// \file
/// A client for a daemon's admin interface.

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lagoonhitch {

class Clock;

/// A blocking client for a daemon's admin interface.
class AdminClient {
public:
  /// \param Address the daemon's admin address, as `ip:port`.
  AdminClient(const Clock &Time, std::string Address);

  /// Sends a GET request and returns the JSON body of the response. Throws an
  /// Error of kind Unavailable if there is no response, Protocol if the
  /// response is not JSON, and Refused if its status is not 200.
  nlohmann::json get(const std::string &Target) const;

private:
  const Clock &Time_;
  std::string Address_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_CLI_ADMIN_CLIENT_H

#ifndef LAGOONHITCH_CLI_ADMIN_CLIENT_H
#define LAGOONHITCH_CLI_ADMIN_CLIENT_H

/// \file
/// Asks a daemon's admin address.

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lagoonhitch {

class Clock;

/// Asks a daemon's admin address.
class AdminClient {
public:
  /// \param Address the daemon's `ip:port` for operators.
  AdminClient(const Clock &Time, std::string Address);

  /// Sends a GET and returns the answer. Throws Error of kind Unavailable if
  /// there is none, and of kind Refused if the daemon refuses.
  nlohmann::json get(const std::string &Target) const;

private:
  const Clock &Time_;
  std::string Address_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_CLI_ADMIN_CLIENT_H

#ifndef LAGOONHITCH_TESTS_PROCESS_CLIENT_CROWD_H
#define LAGOONHITCH_TESTS_PROCESS_CLIENT_CROWD_H

/// \file
/// Clients that do not stay within a daemon's limits.

#include "tests/process/crowd_script.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace lagoonhitch {

class CrowdClient;

/// Several clients of one daemon that send the same bytes at the same time,
/// each on a connection of its own that stays open.
class ClientCrowd {
public:
  /// Connects the clients. Throws std::runtime_error if one can't connect.
  /// \param Address the daemon's `ip:port`.
  ClientCrowd(const std::string &Address, std::size_t Size,
              const CrowdScript &Script);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;

  /// Sends in turn for all clients until each has sent its script or its
  /// connection is closed, or until the daemon has taken nothing more for a
  /// while.
  void send();

  /// Returns the number of clients whose connection the daemon has closed.
  std::size_t closed() const;

private:
  CrowdScript Script_;
  std::vector<std::unique_ptr<CrowdClient>> Clients_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_CLIENT_CROWD_H

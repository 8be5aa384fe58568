#ifndef LAGOONHITCH_DAEMON_PEER_CLOCKS_H
#define LAGOONHITCH_DAEMON_PEER_CLOCKS_H

/// \file
/// What an entry knows of its peers' clocks.

#include "daemon/peer_protocol.h"

#include <map>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Estimates the clocks of peers from their stamps. The estimate never runs
/// ahead by more than the drift, since a stamp is older than its receipt.
class PeerClocks {
public:
  /// Takes a stamp from a peer.
  void note(const std::string &Peer, const PeerStamp &Stamp, Instant Now);

  /// Returns the peer's process and present clock, if a stamp was seen.
  std::optional<PeerStamp> estimate(const std::string &Peer, Instant Now) const;

private:
  struct Entry {
    std::uint64_t Process_ = 0;
    Duration Offset_{};
  };
  std::map<std::string, Entry> Peers_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_PEER_CLOCKS_H

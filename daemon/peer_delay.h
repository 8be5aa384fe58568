#ifndef LAGOONHITCH_DAEMON_PEER_DELAY_H
#define LAGOONHITCH_DAEMON_PEER_DELAY_H

/// \file
/// How long a peer's message was on its way beyond the usual. Peers' clocks are
/// not the same, but the shortest way of a message tells how they differ.

#include "core/clock.h"

#include <cstdint>
#include <map>

namespace lagoonhitch {

/// The shortest ways of one peer process's messages, as differences between
/// this host's clock and the peer's.
struct PeerDelay {
  Duration Min_{};
  /// The same for the span before; clocks drift, so older ones are forgotten.
  Duration PreviousMin_{};
  Instant WindowEnd_;
};

/// Ways of the messages of all peers, by their process numbers.
using PeerDelays = std::map<std::uint64_t, PeerDelay>;

/// Returns how much longer than the usual a message took.
/// \param SentAt the peer's clock when it was sent.
Duration excessDelay(PeerDelays &Delays, std::uint64_t Process, Instant SentAt,
                     Instant Now);

/// Forgets peers that have sent nothing for a while.
void removeIdlePeers(PeerDelays &Delays, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_PEER_DELAY_H

#ifndef LAGOONHITCH_DAEMON_PEER_DELAY_H
#define LAGOONHITCH_DAEMON_PEER_DELAY_H

/// \file
/// Estimates the excess transit delay of peers' messages. The clocks of peers
/// are not synchronised, so delays are measured against the smallest recent
/// difference between the local receive time and the peer's send time.

#include "core/clock.h"

#include <cstdint>
#include <map>

namespace lagoonhitch {

/// The smallest differences between receive and send time of the messages of
/// one peer process. They include the offset between the clocks.
struct PeerDelay {
  /// The minimum in the current time window.
  Duration Min_{};
  /// The minimum up to the previous window. From one window to the next, it
  /// rises only as much as clocks drift, so that it stays known while this
  /// daemon receives all messages late.
  Duration PreviousMin_{};
  /// When the current window ends.
  Instant WindowEnd_;
};

/// The delays of all peers, by process ID.
using PeerDelays = std::map<std::uint64_t, PeerDelay>;

/// Returns how much longer than the smallest recent delay a message took, and
/// updates the peer's minimum.
/// \param Process the peer's process ID.
/// \param SentAt the send time by the peer's clock.
Duration excessDelay(PeerDelays &Delays, std::uint64_t Process, Instant SentAt,
                     Instant Now);

/// Removes peers that have sent nothing for about a minute.
void removeIdlePeers(PeerDelays &Delays, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_PEER_DELAY_H

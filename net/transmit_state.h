#ifndef LAGOONHITCH_NET_TRANSMIT_STATE_H
#define LAGOONHITCH_NET_TRANSMIT_STATE_H

/// \file
/// What the kernel reports of the data that a TCP connection has to deliver.

#include "core/clock.h"

#include <cstdint>
#include <optional>

namespace lagoonhitch {

/// The sending side of a TCP connection.
struct TransmitState {
  /// Whether data was sent that the peer has not acknowledged.
  bool Unacknowledged_ = false;
  /// Whether data waits to be sent.
  bool Unsent_ = false;
  /// Number of the last probes of a closed window without an answer.
  std::uint32_t UnansweredProbes_ = 0;
  /// Time since the peer acknowledged anything, also a probe.
  Duration SinceAcknowledgement_{};
};

/// Returns the state of a TCP connection.
/// \param Socket the file descriptor.
/// \returns std::nullopt if the kernel does not report it.
std::optional<TransmitState> readTransmitState(int Socket);

/// Returns whether the kernel reports the state of TCP connections.
/// \param Socket the file descriptor of an established connection, used in the
/// first call.
bool reportsTransmitState(int Socket);

/// Lets the kernel probe a closed window about once per second, if it can. By
/// default, the time between two probes doubles up to two minutes.
void limitProbeInterval(int Socket);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_TRANSMIT_STATE_H

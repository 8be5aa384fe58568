#ifndef LAGOONHITCH_NET_OUTPUT_PROGRESS_H
#define LAGOONHITCH_NET_OUTPUT_PROGRESS_H

/// \file
/// Distinguishes a peer that reads slowly from one that is gone.
///
/// The kernel of a peer that reads nothing still acknowledges data and answers
/// the probes of its closed window, however long that takes. A peer that is
/// gone answers nothing. The user timeout of TCP ends both.

#include "core/clock.h"

#include <chrono>
#include <optional>

namespace lagoonhitch {

struct TransmitState;

/// Time without an acknowledgement after which a peer counts as gone.
inline constexpr std::chrono::milliseconds MaxAcknowledgementSilence{2500};
/// Time for the answer to a probe of a closed window.
inline constexpr std::chrono::milliseconds MaxProbeAnswerTime{1000};

/// What is known of the data that was written to a connection.
struct OutputProgress {
  /// When data was last written.
  Instant WrittenAt_;
  /// When a probe was first seen without an answer since the peer's last
  /// acknowledgement.
  std::optional<Instant> ProbeUnansweredSince_;
  /// The earliest time at which the peer may count as gone.
  Instant MayBeGoneAt_;
};

/// Whether written data is delivered.
enum class OutputState {
  /// The peer has acknowledged all of it.
  Delivered,
  /// It is on its way.
  Sending,
  /// The peer is there, but does not read.
  WindowClosed,
  /// The peer does not answer.
  PeerGone,
};

/// Handles a write of data to a connection.
void onOutputWritten(OutputProgress &Progress, Instant Now);

/// Returns whether the data that was written to a connection is delivered.
OutputState checkOutput(OutputProgress &Progress, const TransmitState &State,
                        Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_OUTPUT_PROGRESS_H

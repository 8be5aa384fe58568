#include "net/output_progress.h"

#include "net/transmit_state.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Updates since when a probe is unanswered.
void noteProbes(OutputProgress &Progress, const TransmitState &State,
                Instant Now) {
  if (State.UnansweredProbes_ == 0) {
    Progress.ProbeUnansweredSince_.reset();
    return;
  }
  const Instant AcknowledgedAt = Now - State.SinceAcknowledgement_;
  if (!Progress.ProbeUnansweredSince_ ||
      *Progress.ProbeUnansweredSince_ < AcknowledgedAt)
    Progress.ProbeUnansweredSince_ = Now;
}

} // namespace

void onOutputWritten(OutputProgress &Progress, Instant Now) {
  Progress.WrittenAt_ = Now;
  Progress.MayBeGoneAt_ = Now + MaxAcknowledgementSilence;
}

OutputState checkOutput(OutputProgress &Progress, const TransmitState &State,
                        Instant Now) {
  noteProbes(Progress, State, Now);
  if (!State.Unacknowledged_ && !State.Unsent_)
    return OutputState::Delivered;
  const Instant AnsweredAt =
      std::max(Now - State.SinceAcknowledgement_, Progress.WrittenAt_);
  Progress.MayBeGoneAt_ = AnsweredAt + MaxAcknowledgementSilence;
  // If all that was sent is acknowledged, the rest waits for the window. While
  // no probe is due, nothing is to be answered.
  const bool WindowClosed = !State.Unacknowledged_;
  if (WindowClosed)
    Progress.MayBeGoneAt_ = std::max(
        Progress.MayBeGoneAt_,
        Progress.ProbeUnansweredSince_.value_or(Now) + MaxProbeAnswerTime);
  if (Now >= Progress.MayBeGoneAt_)
    return OutputState::PeerGone;
  return WindowClosed ? OutputState::WindowClosed : OutputState::Sending;
}

} // namespace lagoonhitch

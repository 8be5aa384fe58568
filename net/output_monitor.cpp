#include "net/output_monitor.h"

#include "net/transmit_state.h"

#include <boost/system/error_code.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds CheckInterval{500};
/// Age of written data from which its delivery is checked.
constexpr std::chrono::milliseconds FirstCheckAge{1000};

} // namespace

void OutputMonitor::onWritten(MonitoredOutput &Output) {
  if (!reportsTransmitState(Output.Socket_))
    return;
  onOutputWritten(Output.Progress_, std::chrono::steady_clock::now());
  Watched_.insert(&Output);
  scheduleCheck();
}

void OutputMonitor::remove(MonitoredOutput &Output) {
  Watched_.erase(&Output);
  if (!Watched_.empty())
    return;
  Timer_.cancel();
  CheckScheduled_ = false;
}

/// Returns the time until the next check: the usual interval, or until the peer
/// of a connection may count as gone.
Duration OutputMonitor::timeToNextCheck(Instant Now) const {
  Duration Delay = CheckInterval;
  for (const MonitoredOutput *Output : Watched_) {
    const Duration Left = Output->Progress_.MayBeGoneAt_ - Now;
    if (Left > Duration::zero())
      Delay = std::min(Delay, Left);
  }
  return Delay;
}

void OutputMonitor::scheduleCheck() {
  if (CheckScheduled_)
    return;
  CheckScheduled_ = true;
  Timer_.expires_after(timeToNextCheck(std::chrono::steady_clock::now()));
  Timer_.async_wait([this](const boost::system::error_code &Failure) {
    // The monitor may be gone if the timer was cancelled.
    if (!Failure)
      checkAll();
  });
}

void OutputMonitor::checkAll() {
  CheckScheduled_ = false;
  const Instant Now = std::chrono::steady_clock::now();
  std::vector<MonitoredOutput *> Due;
  for (MonitoredOutput *Output : Watched_)
    if (Now - Output->Progress_.WrittenAt_ >= FirstCheckAge)
      Due.push_back(Output);
  for (MonitoredOutput *Output : Due)
    // One may have been removed when another one's peer was found to be gone.
    if (Watched_.contains(Output))
      check(*Output, Now);
  if (!Watched_.empty())
    scheduleCheck();
}

void OutputMonitor::check(MonitoredOutput &Output, Instant Now) {
  const std::optional<TransmitState> State = readTransmitState(Output.Socket_);
  const OutputState Result = State ? checkOutput(Output.Progress_, *State, Now)
                                   : OutputState::Delivered;
  switch (Result) {
  case OutputState::Delivered:
    Watched_.erase(&Output);
    return;
  case OutputState::Sending:
    return;
  case OutputState::WindowClosed:
    limitProbeInterval(Output.Socket_);
    if (Output.OnWindowClosed_)
      Output.OnWindowClosed_();
    return;
  case OutputState::PeerGone: {
    Watched_.erase(&Output);
    const std::function<void()> OnPeerGone = Output.OnPeerGone_;
    OnPeerGone();
    return;
  }
  }
}

} // namespace lagoonhitch

#include "bench/baseline/admission.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

std::size_t waitingCount(const Admission &State) {
  std::size_t Count = 0;
  for (const std::deque<Admission::WaitingRequest> &Queue : State.Queues_)
    Count += Queue.size();
  return Count;
}

bool hasCapacity(const Admission &State) {
  return State.InFlight_ < static_cast<std::uint32_t>(State.Limit_);
}

/// Returns whether a request sent now would miss its deadline if it takes the
/// average latency.
bool wouldMissDeadline(const Admission &State, Instant Deadline, Instant Now) {
  return Now + State.AverageLatency_ >= Deadline;
}

std::deque<Admission::WaitingRequest> &queueOf(Admission &State,
                                               Priority Class) {
  return State.Queues_[static_cast<std::size_t>(Class)];
}

bool isSlow(const Admission &State, Duration Latency,
            const AdmissionOptions &Options) {
  if (State.AverageLatency_ == Duration::zero())
    return false;
  const Duration Bound = std::chrono::duration_cast<Duration>(
      State.AverageLatency_ * Options.SlowFactor_);
  return Latency > std::max<Duration>(Bound, Options.LatencyFloor_);
}

void updateLatency(Admission &State, Duration Latency,
                   const AdmissionOptions &Options) {
  if (State.AverageLatency_ == Duration::zero()) {
    State.AverageLatency_ = Latency;
    return;
  }
  const Duration Step = std::chrono::duration_cast<Duration>(
      (Latency - State.AverageLatency_) * Options.LatencyWeight_);
  State.AverageLatency_ += Step;
}

/// Lowers the limit after a failure. All requests in flight may fail for the
/// same reason, so the limit is lowered at most once per average latency.
void lowerLimit(Admission &State, const AdmissionOptions &Options,
                Instant Now) {
  const Duration Pause =
      std::max<Duration>(State.AverageLatency_, Options.LatencyFloor_);
  if (State.LoweredAt_ != Instant::min() && Now - State.LoweredAt_ < Pause)
    return;
  State.LoweredAt_ = Now;
  State.Limit_ = std::max(1.0, State.Limit_ * Options.BackoffFactor_);
}

/// Lowers the limit after a shed, below the present load, since the upstream
/// can't handle that, and blocks raises. Ignores requests that were sent before
/// the limit was last lowered.
void onShed(Admission &State, Instant StartedAt,
            const AdmissionOptions &Options, Instant Now) {
  if (State.LoweredAt_ != Instant::min() && StartedAt < State.LoweredAt_)
    return;
  State.LoweredAt_ = Now;
  const double Sustained = std::min<double>(State.Limit_, State.InFlight_ + 1);
  State.Limit_ = std::max(1.0, Sustained * Options.BackoffFactor_);
  State.RaisePause_ =
      State.RaisePause_ == Duration::zero()
          ? Duration(Options.RaisePauseAfterShed_)
          : std::min<Duration>(State.RaisePause_ * 2, Options.MaxRaisePause_);
  State.RaiseBlockedUntil_ = Now + State.RaisePause_;
}

void raiseLimit(Admission &State, Instant Now) {
  if (State.RaiseBlockedUntil_ != Instant::min() &&
      Now < State.RaiseBlockedUntil_)
    return;
  State.Limit_ = std::min<double>(State.Capacity_, State.Limit_ + 1);
  if (State.Limit_ >= State.Capacity_)
    State.RaisePause_ = Duration::zero();
}

} // namespace

void resetAdmission(Admission &State, std::uint32_t Slots,
                    std::uint32_t Connections,
                    const AdmissionOptions &Options) {
  State.Capacity_ = std::min(Slots, Connections);
  State.Limit_ = std::min<double>(Options.ColdLimit_, State.Capacity_);
  State.AverageLatency_ = Duration::zero();
  State.ConsecutiveBadAnswers_ = 0;
  State.RaiseBlockedUntil_ = Instant::min();
  State.RaisePause_ = Duration::zero();
}

AdmitResult admit(Admission &State, RequestNumber Number, Priority Class,
                  Instant Deadline, const AdmissionOptions &Options,
                  Instant Now) {
  if (State.Capacity_ == 0 || wouldMissDeadline(State, Deadline, Now))
    return AdmitResult::Shed;
  if (hasCapacity(State) && waitingCount(State) == 0) {
    ++State.InFlight_;
    return AdmitResult::Admitted;
  }
  if (waitingCount(State) >= Options.MaxWaiting_)
    return AdmitResult::Shed;
  queueOf(State, Class).push_back({Number, Deadline});
  return AdmitResult::Queued;
}

bool complete(Admission &State, UpstreamOutcome Outcome, Duration Latency,
              const AdmissionOptions &Options, Instant Now) {
  --State.InFlight_;
  const bool Slow =
      Outcome == UpstreamOutcome::Success && isSlow(State, Latency, Options);
  if (Outcome == UpstreamOutcome::Success)
    updateLatency(State, Latency, Options);
  if (Outcome == UpstreamOutcome::Success && !Slow) {
    State.ConsecutiveBadAnswers_ = 0;
    raiseLimit(State, Now);
    return false;
  }
  ++State.ConsecutiveBadAnswers_;
  if (Outcome == UpstreamOutcome::Shed)
    onShed(State, Now - Latency, Options, Now);
  if (Outcome == UpstreamOutcome::Failed)
    lowerLimit(State, Options, Now);
  if (State.ConsecutiveBadAnswers_ < Options.ColdAfter_)
    return false;
  State.ConsecutiveBadAnswers_ = 0;
  const bool WasWarm = State.Limit_ > Options.ColdLimit_;
  State.Limit_ = std::min(State.Limit_, Options.ColdLimit_);
  return WasWarm;
}

AdvanceResult advanceQueue(Admission &State, Instant Now) {
  AdvanceResult Dispatched;
  for (std::size_t Class = PriorityCount; Class-- > 0;) {
    std::deque<Admission::WaitingRequest> &Queue = State.Queues_[Class];
    while (!Queue.empty()) {
      const Admission::WaitingRequest Oldest = Queue.front();
      const bool TooLate = wouldMissDeadline(State, Oldest.Deadline_, Now);
      if (!TooLate && !hasCapacity(State))
        break;
      Queue.pop_front();
      if (TooLate) {
        Dispatched.Dropped_.push_back(Oldest.Number_);
        continue;
      }
      ++State.InFlight_;
      Dispatched.Started_.push_back(Oldest.Number_);
    }
  }
  return Dispatched;
}

bool removeWaiting(Admission &State, RequestNumber Number) {
  for (std::deque<Admission::WaitingRequest> &Queue : State.Queues_) {
    const std::size_t Removed =
        std::erase_if(Queue, [Number](const Admission::WaitingRequest &Entry) {
          return Entry.Number_ == Number;
        });
    if (Removed > 0)
      return true;
  }
  return false;
}

std::chrono::milliseconds expectedWait(const Admission &State) {
  const double Ahead =
      static_cast<double>(waitingCount(State) + State.InFlight_ + 1);
  const double Rounds = Ahead / std::max(1.0, std::floor(State.Limit_));
  return toMillis(std::chrono::duration_cast<Duration>(State.AverageLatency_ *
                                                       Rounds)) +
         std::chrono::milliseconds(1);
}

} // namespace lagoonhitch

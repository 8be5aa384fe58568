#include "bench/baseline/admission.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

std::size_t waitingCount(const Admission &State) {
  std::size_t Count = 0;
  for (const std::deque<Admission::Waiting> &Queue : State.Queues_)
    Count += Queue.size();
  return Count;
}

bool hasRoom(const Admission &State) {
  return State.InFlight_ < static_cast<std::uint32_t>(State.Limit_);
}

/// A request that is sent now may still take the usual time.
bool isHopeless(const Admission &State, Instant Deadline, Instant Now) {
  return Now + State.UsualLatency_ >= Deadline;
}

std::deque<Admission::Waiting> &queueOf(Admission &State, Priority Class) {
  return State.Queues_[static_cast<std::size_t>(Class)];
}

bool isSlow(const Admission &State, Duration Latency,
            const AdmissionOptions &Options) {
  if (State.UsualLatency_ == Duration::zero())
    return false;
  const Duration Bound = std::chrono::duration_cast<Duration>(
      State.UsualLatency_ * Options.SlowFactor_);
  return Latency > std::max<Duration>(Bound, Options.LatencyFloor_);
}

void learnLatency(Admission &State, Duration Latency,
                  const AdmissionOptions &Options) {
  if (State.UsualLatency_ == Duration::zero()) {
    State.UsualLatency_ = Latency;
    return;
  }
  const Duration Step = std::chrono::duration_cast<Duration>(
      (Latency - State.UsualLatency_) * Options.LatencyWeight_);
  State.UsualLatency_ += Step;
}

/// All requests in flight may fail for one cause, so the limit is lowered at
/// most once in the time of an answer.
void lowerLimit(Admission &State, const AdmissionOptions &Options,
                Instant Now) {
  const Duration Pause =
      std::max<Duration>(State.UsualLatency_, Options.LatencyFloor_);
  if (State.LoweredAt_ != Instant::min() && Now - State.LoweredAt_ < Pause)
    return;
  State.LoweredAt_ = Now;
  State.Limit_ = std::max(1.0, State.Limit_ * Options.Backoff_);
}

/// A shed proves that the upstream does not bear what it has, unless it was
/// sent before the limit was last lowered.
void onShed(Admission &State, Instant StartedAt,
            const AdmissionOptions &Options, Instant Now) {
  if (State.LoweredAt_ != Instant::min() && StartedAt < State.LoweredAt_)
    return;
  State.LoweredAt_ = Now;
  const double Borne = std::min<double>(State.Limit_, State.InFlight_ + 1);
  State.Limit_ = std::max(1.0, Borne * Options.Backoff_);
  State.Hold_ = State.Hold_ == Duration::zero()
                    ? Duration(Options.HoldAfterShed_)
                    : std::min<Duration>(State.Hold_ * 2, Options.MaxHold_);
  State.HoldUntil_ = Now + State.Hold_;
}

void raiseLimit(Admission &State, Instant Now) {
  if (State.HoldUntil_ != Instant::min() && Now < State.HoldUntil_)
    return;
  State.Limit_ = std::min<double>(State.Capacity_, State.Limit_ + 1);
  if (State.Limit_ >= State.Capacity_)
    State.Hold_ = Duration::zero();
}

} // namespace

void resetAdmission(Admission &State, std::uint32_t Slots,
                    std::uint32_t Connections,
                    const AdmissionOptions &Options) {
  State.Capacity_ = std::min(Slots, Connections);
  State.Limit_ = std::min<double>(Options.ColdLimit_, State.Capacity_);
  State.UsualLatency_ = Duration::zero();
  State.BadInRow_ = 0;
  State.HoldUntil_ = Instant::min();
  State.Hold_ = Duration::zero();
}

AdmitResult admit(Admission &State, Ticket Id, Priority Class, Instant Deadline,
                  const AdmissionOptions &Options, Instant Now) {
  if (State.Capacity_ == 0 || isHopeless(State, Deadline, Now))
    return AdmitResult::Shed;
  if (hasRoom(State) && waitingCount(State) == 0) {
    ++State.InFlight_;
    return AdmitResult::Admitted;
  }
  if (waitingCount(State) >= Options.QueueLimit_)
    return AdmitResult::Shed;
  queueOf(State, Class).push_back({Id, Deadline});
  return AdmitResult::Queued;
}

bool complete(Admission &State, UpstreamAnswer Result, Duration Latency,
              const AdmissionOptions &Options, Instant Now) {
  --State.InFlight_;
  const bool Slow =
      Result == UpstreamAnswer::Good && isSlow(State, Latency, Options);
  if (Result == UpstreamAnswer::Good)
    learnLatency(State, Latency, Options);
  if (Result == UpstreamAnswer::Good && !Slow) {
    State.BadInRow_ = 0;
    raiseLimit(State, Now);
    return false;
  }
  ++State.BadInRow_;
  if (Result == UpstreamAnswer::Shed)
    onShed(State, Now - Latency, Options, Now);
  if (Result == UpstreamAnswer::Failed)
    lowerLimit(State, Options, Now);
  if (State.BadInRow_ < Options.ColdAfter_)
    return false;
  State.BadInRow_ = 0;
  const bool WasWarm = State.Limit_ > Options.ColdLimit_;
  State.Limit_ = std::min(State.Limit_, Options.ColdLimit_);
  return WasWarm;
}

QueueChange advanceQueue(Admission &State, Instant Now) {
  QueueChange Change;
  for (std::size_t Class = PriorityCount; Class-- > 0;) {
    std::deque<Admission::Waiting> &Queue = State.Queues_[Class];
    while (!Queue.empty()) {
      const Admission::Waiting Oldest = Queue.front();
      const bool Hopeless = isHopeless(State, Oldest.Deadline_, Now);
      if (!Hopeless && !hasRoom(State))
        break;
      Queue.pop_front();
      if (Hopeless) {
        Change.Dropped_.push_back(Oldest.Ticket_);
        continue;
      }
      ++State.InFlight_;
      Change.Started_.push_back(Oldest.Ticket_);
    }
  }
  return Change;
}

bool removeWaiting(Admission &State, Ticket Id) {
  for (std::deque<Admission::Waiting> &Queue : State.Queues_) {
    const std::size_t Removed =
        std::erase_if(Queue, [Id](const Admission::Waiting &One) {
          return One.Ticket_ == Id;
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
  return toMillis(std::chrono::duration_cast<Duration>(State.UsualLatency_ *
                                                       Rounds)) +
         std::chrono::milliseconds(1);
}

} // namespace lagoonhitch

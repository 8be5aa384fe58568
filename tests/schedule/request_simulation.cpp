#include "tests/schedule/request_simulation.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr std::size_t GatewayCount = 3;
constexpr std::chrono::milliseconds CallTimeout{3000};
constexpr std::chrono::milliseconds LatencyObjective{600};
constexpr std::chrono::milliseconds StatusPollInterval{60};

} // namespace

RequestSimulation::RequestSimulation(std::uint64_t Seed,
                                     const RequestFaults &Faults)
    : Random_(Seed), Faults_(Faults), Now_(std::chrono::seconds(1000)),
      Gateways_(GatewayCount) {
  for (Gateway &Each : Gateways_)
    Each.ProcessId_ = NextProcessId_++;
}

bool RequestSimulation::chance(int Percent) {
  return static_cast<int>(Random_() % 100) < Percent;
}

Duration RequestSimulation::randomDelay(int Low, int High) {
  return std::chrono::milliseconds(
      Low +
      static_cast<int>(Random_() % static_cast<unsigned>(High - Low + 1)));
}

void RequestSimulation::scheduleAfter(Duration Delay,
                                      std::function<void()> Callback) {
  Events_.emplace(Now_ + Delay, std::move(Callback));
}

RequestId RequestSimulation::idOf(std::size_t CallIndex,
                                  std::uint32_t Attempt) const {
  return {1, CallIndex, Attempt};
}

void RequestSimulation::run(int Calls) {
  Calls_.resize(static_cast<std::size_t>(Calls));
  for (std::size_t CallIndex = 0; CallIndex < Calls_.size(); ++CallIndex)
    scheduleAfter(randomDelay(0, 4000), [this, CallIndex] {
      Call &Current = Calls_[CallIndex];
      Current.Plan_.Idempotent_ = chance(Faults_.IdempotentPercent_);
      Current.Plan_.ArrivedAt_ = Now_;
      Current.Plan_.Deadline_ = Now_ + CallTimeout;
      Current.Plan_.Objective_ = LatencyObjective;
      Current.Plan_.MaxRuns_ = Current.Plan_.Idempotent_ ? 2 : 1;
      scheduleAfter(CallTimeout, [this, CallIndex] {
        if (!Calls_[CallIndex].Done_)
          performStep(CallIndex, onDeadline(Calls_[CallIndex].Plan_, false));
      });
      sendAttempt(CallIndex);
    });
  while (!Events_.empty()) {
    const auto Next = Events_.begin();
    Now_ = Next->first;
    const std::function<void()> Callback = std::move(Next->second);
    Events_.erase(Next);
    Callback();
  }
}

void RequestSimulation::sendAttempt(std::size_t CallIndex) {
  Call &Current = Calls_[CallIndex];
  ++Current.Plan_.SentAttempts_;
  const std::uint32_t Attempt = ++Current.Attempt_;
  Current.Gateway_ = Random_() % GatewayCount;
  Current.ProcessId_ = Gateways_[Current.Gateway_].ProcessId_;
  const std::size_t GatewayIndex = Current.Gateway_;
  const bool Lost = chance(Faults_.LostConnectionPercent_);
  const bool Late = Lost && chance(Faults_.LateArrivalPercent_);
  const std::uint64_t ProcessId = Current.ProcessId_;
  scheduleAfter(Late ? randomDelay(200, 2500) : randomDelay(1, 20), [=, this] {
    receiveAttempt(CallIndex, Attempt, GatewayIndex, ProcessId, Lost);
  });
  if (Lost)
    scheduleAfter(randomDelay(5, 600), [this, CallIndex, Attempt] {
      handleConnectionLoss(CallIndex, Attempt);
    });
}

/// Handles the loss of an attempt's connection at the entry daemon.
void RequestSimulation::handleConnectionLoss(std::size_t CallIndex,
                                             std::uint32_t Attempt) {
  if (Calls_[CallIndex].Done_ || Calls_[CallIndex].Attempt_ != Attempt)
    return;
  if (Calls_[CallIndex].Plan_.Idempotent_)
    handleResult(CallIndex, Attempt, AttemptResult());
  else
    lookUpStatus(CallIndex, Attempt);
}

void RequestSimulation::recordResult(std::size_t CallIndex,
                                     std::uint32_t Attempt,
                                     std::size_t GatewayIndex, Outcome Result) {
  Answer Stored;
  Stored.Outcome_ = Result;
  Stored.Status_ = 200;
  finishAttempt(Gateways_[GatewayIndex].Attempts_, idOf(CallIndex, Attempt),
                Calls_[CallIndex].Plan_.Deadline_,
                std::make_shared<const Answer>(Stored), Options_, Now_);
}

void RequestSimulation::receiveAttempt(std::size_t CallIndex,
                                       std::uint32_t Attempt,
                                       std::size_t GatewayIndex,
                                       std::uint64_t ProcessId, bool Lost) {
  const RequestPlan &Plan = Calls_[CallIndex].Plan_;
  // A restart closes the connections of the old process, and data in flight to
  // it is lost.
  if (Gateways_[GatewayIndex].ProcessId_ != ProcessId) {
    if (!Lost)
      handleConnectionLoss(CallIndex, Attempt);
    return;
  }
  AttemptResult Rejected;
  Rejected.Outcome_ = Outcome::NotRun;
  const bool CannotBegin =
      !Plan.Idempotent_ &&
      !beginAttempt(Gateways_[GatewayIndex].Attempts_, idOf(CallIndex, Attempt),
                    Plan.Deadline_, Now_);
  if (CannotBegin || Now_ >= Plan.Deadline_) {
    Rejected.RejectReason_ = RejectReason::AlreadyResolved;
    if (!Lost)
      scheduleAfter(randomDelay(1, 10),
                    [=, this] { handleResult(CallIndex, Attempt, Rejected); });
    return;
  }
  if (chance(Faults_.RejectionPercent_)) {
    Rejected.RejectReason_ = RejectReason::Unavailable;
    if (!Plan.Idempotent_)
      recordResult(CallIndex, Attempt, GatewayIndex, Outcome::NotRun);
    if (!Lost)
      scheduleAfter(randomDelay(1, 10),
                    [=, this] { handleResult(CallIndex, Attempt, Rejected); });
    return;
  }
  execute(CallIndex, Attempt, GatewayIndex, Lost);
}

void RequestSimulation::execute(std::size_t CallIndex, std::uint32_t Attempt,
                                std::size_t GatewayIndex, bool Lost) {
  ++Calls_[CallIndex].Runs_;
  const std::uint64_t ProcessId = Gateways_[GatewayIndex].ProcessId_;
  const Duration ProcessingTime = randomDelay(5, 500);
  if (chance(Faults_.RestartPercent_))
    scheduleAfter(ProcessingTime / 2, [this, GatewayIndex] {
      Gateways_[GatewayIndex].ProcessId_ = NextProcessId_++;
      Gateways_[GatewayIndex].Attempts_ = AttemptTable();
    });
  scheduleAfter(ProcessingTime, [=, this] {
    // The answer is lost with the process that waited for it.
    if (Gateways_[GatewayIndex].ProcessId_ != ProcessId) {
      if (!Lost)
        handleConnectionLoss(CallIndex, Attempt);
      return;
    }
    if (!Calls_[CallIndex].Plan_.Idempotent_)
      recordResult(CallIndex, Attempt, GatewayIndex, Outcome::Ran);
    if (Lost)
      return;
    AttemptResult Ran;
    Ran.Outcome_ = Outcome::Ran;
    Ran.Status_ = 200;
    scheduleAfter(randomDelay(1, 10),
                  [=, this] { handleResult(CallIndex, Attempt, Ran); });
  });
}

void RequestSimulation::lookUpStatus(std::size_t CallIndex,
                                     std::uint32_t Attempt) {
  const Call &Current = Calls_[CallIndex];
  if (Current.Done_ || Current.Attempt_ != Attempt)
    return;
  const std::size_t GatewayIndex = Current.Gateway_;
  const std::uint64_t ProcessId = Current.ProcessId_;
  const Instant StartBy = Current.Plan_.Deadline_;
  scheduleAfter(randomDelay(1, 20), [=, this] {
    AttemptInfo Info;
    if (Gateways_[GatewayIndex].ProcessId_ == ProcessId)
      Info = lookUpAttempt(Gateways_[GatewayIndex].Attempts_,
                           idOf(CallIndex, Attempt), StartBy, Options_, Now_);
    scheduleAfter(randomDelay(1, 20),
                  [=, this] { handleStatus(CallIndex, Attempt, Info); });
  });
}

void RequestSimulation::handleStatus(std::size_t CallIndex,
                                     std::uint32_t Attempt,
                                     const AttemptInfo &Info) {
  AttemptResult Result;
  switch (Info.Status_) {
  case AttemptStatus::Running:
    scheduleAfter(StatusPollInterval,
                  [=, this] { lookUpStatus(CallIndex, Attempt); });
    return;
  case AttemptStatus::Finished:
    Result.Outcome_ = Info.Answer_->Outcome_;
    Result.Status_ = Info.Answer_->Status_;
    break;
  case AttemptStatus::Rejected:
    Result.Outcome_ = Outcome::NotRun;
    Result.RejectReason_ = RejectReason::AlreadyResolved;
    break;
  case AttemptStatus::Evicted:
    break;
  }
  handleResult(CallIndex, Attempt, Result);
}

void RequestSimulation::handleResult(std::size_t CallIndex,
                                     std::uint32_t Attempt,
                                     const AttemptResult &Result) {
  Call &Current = Calls_[CallIndex];
  if (Current.Done_ || Current.Attempt_ != Attempt)
    return;
  const PlanStep Step = onAttemptEnd(
      Current.Plan_, Result, [] { return true; }, Now_);
  if (Step.Kind_ == PlanStep::Kind::Reply)
    finishCall(Current, Outcome::Ran);
  else
    performStep(CallIndex, Step);
}

void RequestSimulation::performStep(std::size_t CallIndex,
                                    const PlanStep &Step) {
  switch (Step.Kind_) {
  case PlanStep::Kind::Send:
    sendAttempt(CallIndex);
    return;
  case PlanStep::Kind::WaitForOwner:
    scheduleAfter(Step.RetryAfter_,
                  [this, CallIndex] { sendAttempt(CallIndex); });
    return;
  case PlanStep::Kind::Reject:
    finishCall(Calls_[CallIndex], Outcome::NotRun);
    return;
  case PlanStep::Kind::Fail:
    finishCall(Calls_[CallIndex], Outcome::Unknown);
    return;
  case PlanStep::Kind::Reply:
    return;
  }
}

void RequestSimulation::finishCall(Call &Current, Outcome Result) {
  Current.Done_ = true;
  Current.Outcome_ = Result;
}

std::vector<std::string> RequestSimulation::violations() const {
  std::vector<std::string> Violations;
  for (const Call &Current : Calls_) {
    if (!Current.Done_)
      Violations.emplace_back("a call was not answered");
    if (!Current.Plan_.Idempotent_ && Current.Runs_ > 1)
      Violations.emplace_back("a non-idempotent call ran more than once");
    if (Current.Runs_ > Current.Plan_.MaxRuns_)
      Violations.emplace_back("a call ran more often than its limit");
    if (Current.Outcome_ == Outcome::NotRun && Current.Runs_ > 0)
      Violations.emplace_back("a call ran but was answered as not run");
    if (Current.Outcome_ == Outcome::Ran && Current.Runs_ == 0)
      Violations.emplace_back("a call was answered as run but did not run");
  }
  return Violations;
}

std::size_t RequestSimulation::countOutcome(Outcome Result) const {
  return static_cast<std::size_t>(std::count_if(
      Calls_.begin(), Calls_.end(), [Result](const Call &Current) {
        return Current.Done_ && Current.Outcome_ == Result;
      }));
}

} // namespace lagoonhitch

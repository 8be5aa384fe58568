#include "bench/decisions/fake_upstream.h"

namespace lagoonhitch {

FakeUpstream::FakeUpstream(EventQueue &Events, FakeUpstreamOptions Options,
                           std::uint64_t Seed)
    : Events_(Events), Options_(Options), Random_(Seed) {}

void FakeUpstream::run(DoneCallback OnDone) {
  if (Cold_ && Running_ >= Options_.ColdSlots_) {
    ++ShedCount_;
    constexpr std::chrono::microseconds ShedTime{200};
    Events_.after(ShedTime,
                  [OnDone = std::move(OnDone)] { OnDone(Outcome::Shed); });
    return;
  }
  if (Running_ >= Options_.Slots_) {
    Waiting_.push_back(std::move(OnDone));
    return;
  }
  start(std::move(OnDone));
}

void FakeUpstream::start(DoneCallback OnDone) {
  ++Running_;
  std::exponential_distribution<double> Exponential(1);
  const double Factor = Events_.now() < SlowUntil_ ? SlowFactor_ : 1;
  const Duration ProcessingTime = std::chrono::duration_cast<Duration>(
      Options_.MeanProcessingTime_ * (0.5 + 0.5 * Exponential(Random_)) *
      Factor / Options_.Speed_);
  BusyTime_ += ProcessingTime;
  Events_.after(ProcessingTime, [this, OnDone = std::move(OnDone)] {
    --Running_;
    if (Cold_ && ++FinishedSinceCold_ >= Options_.RequestsUntilWarm_) {
      Cold_ = false;
      WarmSince_ = Events_.now();
    }
    if (!Waiting_.empty() && Running_ < Options_.Slots_) {
      DoneCallback Next = std::move(Waiting_.front());
      Waiting_.pop_front();
      start(std::move(Next));
    }
    const bool IsError = Random_() % 100 < ErrorPercent_;
    if (!IsError)
      ++SuccessCount_;
    OnDone(IsError ? Outcome::Error : Outcome::Success);
  });
}

void FakeUpstream::slowDown(double Factor, Duration Length) {
  SlowFactor_ = Factor;
  SlowUntil_ = Events_.now() + Length;
}

void FakeUpstream::turnCold() {
  Cold_ = true;
  FinishedSinceCold_ = 0;
}

} // namespace lagoonhitch

#include "bench/decisions/fake_upstream.h"

namespace lagoonhitch {

FakeUpstream::FakeUpstream(Agenda &Time, FakeUpstreamOptions Options,
                           std::uint64_t Seed)
    : Time_(Time), Options_(Options), Random_(Seed) {}

void FakeUpstream::run(Done Callback) {
  if (Cold_ && Running_ >= Options_.ColdSlots_) {
    ++Shed_;
    constexpr std::chrono::microseconds ShedTime{200};
    Time_.after(ShedTime,
                [Callback = std::move(Callback)] { Callback(End::Shed); });
    return;
  }
  if (Running_ >= Options_.Slots_) {
    Waiting_.push_back(std::move(Callback));
    return;
  }
  start(std::move(Callback));
}

void FakeUpstream::start(Done Callback) {
  ++Running_;
  std::exponential_distribution<double> Tail(1);
  const double Factor = Time_.now() < SlowUntil_ ? SlowFactor_ : 1;
  const Duration Span = std::chrono::duration_cast<Duration>(
      Options_.MeanTime_ * (0.5 + 0.5 * Tail(Random_)) * Factor /
      Options_.Speed_);
  Busy_ += Span;
  Time_.after(Span, [this, Callback = std::move(Callback)] {
    --Running_;
    if (Cold_ && ++RunSinceCold_ >= Options_.WarmAfter_) {
      Cold_ = false;
      WarmSince_ = Time_.now();
    }
    if (!Waiting_.empty() && Running_ < Options_.Slots_) {
      Done Next = std::move(Waiting_.front());
      Waiting_.pop_front();
      start(std::move(Next));
    }
    const bool Fails = Random_() % 100 < ErrorPercent_;
    if (!Fails)
      ++Good_;
    Callback(Fails ? End::Error : End::Good);
  });
}

void FakeUpstream::slowDown(double Factor, Duration Span) {
  SlowFactor_ = Factor;
  SlowUntil_ = Time_.now() + Span;
}

void FakeUpstream::turnCold() {
  Cold_ = true;
  RunSinceCold_ = 0;
}

} // namespace lagoonhitch

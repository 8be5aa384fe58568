#include "limits/failure_rate.h"

#include <algorithm>
#include <cmath>

namespace lagoonhitch {

namespace {

constexpr unsigned FirstServerError = 500;
constexpr unsigned GatewayTimeout = 504;
/// A 504 with less time left than this is attributed to the deadline. Upstreams
/// answer somewhat before it, so that the response still arrives.
constexpr std::chrono::milliseconds DeadlineMargin{100};

double decayFactor(const FailureRate &State, const FailureRateOptions &Options,
                   Instant Now) {
  if (Now <= State.DecayedAt_ || State.DecayedAt_ == Instant::min())
    return 1;
  const std::chrono::duration<double> Elapsed = Now - State.DecayedAt_;
  return std::exp(-(Elapsed / Options.DecayTime_));
}

} // namespace

void addRequestEnd(FailureRate &State, bool Failed,
                   const FailureRateOptions &Options, Instant Now) {
  const double Factor =
      decayFactor(State, Options, Now) * (1 - 1 / Options.DecayRequests_);
  State.Failed_ = State.Failed_ * Factor + (Failed ? 1 : 0);
  State.Total_ = State.Total_ * Factor + 1;
  State.DecayedAt_ = Now;
}

double failureShare(const FailureRate &State, const FailureRateOptions &Options,
                    Instant Now) {
  const double Factor = decayFactor(State, Options, Now);
  return State.Failed_ * Factor /
         std::max(State.Total_ * Factor, Options.MinRequests_);
}

std::uint32_t failurePercent(const FailureRate &State,
                             const FailureRateOptions &Options, Instant Now) {
  constexpr double Hundred = 100;
  return static_cast<std::uint32_t>(
      std::lround(failureShare(State, Options, Now) * Hundred));
}

std::optional<bool> isOwnFailure(const RequestEnd &End) {
  switch (End.Kind_) {
  case RequestEnd::Kind::Answered:
    if (End.Status_ == GatewayTimeout && End.TimeLeft_ < DeadlineMargin)
      return std::nullopt;
    return End.Status_ >= FirstServerError;
  case RequestEnd::Kind::Broken:
    return true;
  case RequestEnd::Kind::Other:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace lagoonhitch

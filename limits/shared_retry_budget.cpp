#include "limits/shared_retry_budget.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Maximum number of retries that deposits can accumulate.
constexpr double MaxDepositedRetries = 10;

/// Adds the tokens that accrue with time.
void refill(SharedRetryBudget &Budget, const SharedRetryBudgetOptions &Options,
            std::size_t Daemons, Instant Now) {
  const double SlackShare =
      Options.Slack_ * Options.SafetyFactor_ /
      static_cast<double>(std::max<std::size_t>(Daemons, 1));
  // Half of this daemon's share of the slack is available at once, the other
  // half is refilled over one window.
  const double HalfShare = SlackShare / 2;
  if (Budget.RefilledAt_ == Instant::min()) {
    Budget.Tokens_ += HalfShare;
  } else {
    const double Windows =
        std::chrono::duration<double>(Now - Budget.RefilledAt_) /
        std::chrono::duration<double>(Options.Window_);
    Budget.Tokens_ += Windows * HalfShare;
  }
  Budget.RefilledAt_ = Now;
  Budget.Tokens_ = std::min(Budget.Tokens_, HalfShare + MaxDepositedRetries);
}

} // namespace

void depositRetryTokens(SharedRetryBudget &Budget,
                        const SharedRetryBudgetOptions &Options) {
  Budget.Tokens_ += Options.Ratio_ * Options.SafetyFactor_;
}

bool tryWithdrawRetry(SharedRetryBudget &Budget,
                      const SharedRetryBudgetOptions &Options,
                      std::size_t Daemons, Instant Now) {
  refill(Budget, Options, Daemons, Now);
  if (Budget.Tokens_ < 1)
    return false;
  Budget.Tokens_ -= 1;
  return true;
}

bool tryWithdrawRerun(std::map<std::string, SharedRetryBudget> &Budgets,
                      const SharedRetryBudgetOptions &Options,
                      std::size_t Daemons, Instant Now) {
  for (auto &[Service, Budget] : Budgets)
    refill(Budget, Options, Daemons, Now);
  const bool Exhausted =
      std::any_of(Budgets.begin(), Budgets.end(),
                  [](const auto &Entry) { return Entry.second.Tokens_ < 1; });
  if (Exhausted)
    return false;
  for (auto &[Service, Budget] : Budgets)
    Budget.Tokens_ -= 1;
  return true;
}

} // namespace lagoonhitch

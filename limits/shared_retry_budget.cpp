#include "limits/shared_retry_budget.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Most retries that requests alone can save up.
constexpr double MaxEarned = 10;

} // namespace

void earnShared(SharedBudget &Budget, const SharedBudgetOptions &Options) {
  Budget.Tokens_ += Options.Ratio_ * Options.SafePart_;
}

bool spendShared(SharedBudget &Budget, const SharedBudgetOptions &Options,
                 std::size_t Daemons, Instant Now) {
  const double Part = Options.Slack_ * Options.SafePart_ /
                      static_cast<double>(std::max<std::size_t>(Daemons, 1));
  // Half of the slack is there at once, the other half comes over a window.
  const double AtOnce = Part / 2;
  if (Budget.FilledAt_ == Instant::min()) {
    Budget.Tokens_ += AtOnce;
  } else {
    const double Windows =
        std::chrono::duration<double>(Now - Budget.FilledAt_) /
        std::chrono::duration<double>(Options.Window_);
    Budget.Tokens_ += Windows * AtOnce;
  }
  Budget.FilledAt_ = Now;
  Budget.Tokens_ = std::min(Budget.Tokens_, AtOnce + MaxEarned);
  if (Budget.Tokens_ < 1)
    return false;
  Budget.Tokens_ -= 1;
  return true;
}

} // namespace lagoonhitch

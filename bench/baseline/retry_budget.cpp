#include "bench/baseline/retry_budget.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr std::uint64_t OneRetry = 100;

} // namespace

void earnRetry(RetryBudget &Budget, std::uint32_t Percent) {
  Budget.Balance_ = std::min(Budget.Balance_ + Percent, RetryBudgetMax);
}

bool spendRetry(RetryBudget &Budget) {
  if (Budget.Balance_ < OneRetry)
    return false;
  Budget.Balance_ -= OneRetry;
  return true;
}

} // namespace lagoonhitch

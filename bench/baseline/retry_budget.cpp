#include "bench/baseline/retry_budget.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

constexpr std::uint64_t TokensPerRetry = 100;

} // namespace

void addRetryTokens(RetryBudget &Budget, std::uint32_t Percent) {
  Budget.Balance_ = std::min(Budget.Balance_ + Percent, MaxRetryBalance);
}

bool spendRetryTokens(RetryBudget &Budget) {
  if (Budget.Balance_ < TokensPerRetry)
    return false;
  Budget.Balance_ -= TokensPerRetry;
  return true;
}

} // namespace lagoonhitch

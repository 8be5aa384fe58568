#ifndef LAGOONHITCH_BENCH_BASELINE_RETRY_BUDGET_H
#define LAGOONHITCH_BENCH_BASELINE_RETRY_BUDGET_H

/// \file
/// Limits retries to a fraction of the traffic.

#include <cstdint>

namespace lagoonhitch {

/// A token bucket that is filled by first attempts and drained by retries.
struct RetryBudget {
  /// Tokens in hundredths of a retry.
  std::uint64_t Balance_ = 0;
};

/// Maximum balance, in hundredths of a retry.
inline constexpr std::uint64_t MaxRetryBalance = 1000;

/// Adds the tokens that one first attempt earns.
/// \param Percent allowed retries per hundred first attempts.
void addRetryTokens(RetryBudget &Budget, std::uint32_t Percent);

/// Takes the tokens for one retry.
/// \returns false if the budget is exhausted.
bool spendRetryTokens(RetryBudget &Budget);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_BASELINE_RETRY_BUDGET_H

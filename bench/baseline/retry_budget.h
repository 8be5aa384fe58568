#ifndef LAGOONHITCH_BENCH_BASELINE_RETRY_BUDGET_H
#define LAGOONHITCH_BENCH_BASELINE_RETRY_BUDGET_H

/// \file
/// Keeps retries a small part of the traffic.

#include <cstdint>

namespace lagoonhitch {

/// A token bucket that live requests fill and retries empty.
struct RetryBudget {
  /// Tokens in hundredths of a retry.
  std::uint64_t Balance_ = 0;
};

/// Most retries that can be saved up, in hundredths.
inline constexpr std::uint64_t MaxRetryBalance = 1000;

/// Counts a first attempt; adds Percent hundredths of a retry.
void addRetryTokens(RetryBudget &Budget, std::uint32_t Percent);

/// Takes one retry from the budget; returns whether there was one.
bool spendRetryTokens(RetryBudget &Budget);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_BASELINE_RETRY_BUDGET_H

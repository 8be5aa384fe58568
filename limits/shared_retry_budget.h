#ifndef LAGOONHITCH_LIMITS_SHARED_RETRY_BUDGET_H
#define LAGOONHITCH_LIMITS_SHARED_RETRY_BUDGET_H

/// \file
/// One daemon's part of a retry budget that all daemons of a site share.

#include "core/clock.h"

#include <chrono>
#include <cstddef>

namespace lagoonhitch {

/// What all daemons together may spend.
struct SharedRetryBudgetOptions {
  /// Retries for each request.
  double Ratio_ = 0.2;
  /// Retries besides, in a window, over all daemons.
  double Slack_ = 10;
  std::chrono::milliseconds Window_{10000};
  /// Part of both that is spent, since windows slide and parts are uneven.
  double SafetyFactor_ = 0.7;
};

/// A bucket that requests and time fill, and retries empty.
struct SharedRetryBudget {
  double Tokens_ = 0;
  Instant RefilledAt_ = Instant::min();
};

/// Counts a first attempt.
void depositRetryTokens(SharedRetryBudget &Budget,
                        const SharedRetryBudgetOptions &Options);

/// Takes one retry; returns whether there was one.
/// \param Daemons how many daemons share the budget.
bool tryWithdrawRetry(SharedRetryBudget &Budget,
                      const SharedRetryBudgetOptions &Options,
                      std::size_t Daemons, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_SHARED_RETRY_BUDGET_H

#ifndef LAGOONHITCH_LIMITS_SHARED_RETRY_BUDGET_H
#define LAGOONHITCH_LIMITS_SHARED_RETRY_BUDGET_H

/// \file
/// One daemon's share of a retry budget that spans all daemons of a site.

#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace lagoonhitch {

/// Limits on the retries of all daemons together.
struct SharedRetryBudgetOptions {
  /// Allowed retries per first attempt.
  double Ratio_ = 0.2;
  /// Additional retries per window, over all daemons.
  double Slack_ = 10;
  std::chrono::milliseconds Window_{10000};
  /// Fraction of ratio and slack that is actually granted. Below 1 because
  /// limits apply to sliding windows and load is uneven between daemons.
  double SafetyFactor_ = 0.7;
};

/// A token bucket that is filled by first attempts and over time. Each retry
/// takes one token.
struct SharedRetryBudget {
  double Tokens_ = 0;
  Instant RefilledAt_ = Instant::min();
};

/// Adds the tokens that one first attempt earns.
void depositRetryTokens(SharedRetryBudget &Budget,
                        const SharedRetryBudgetOptions &Options);

/// Refills the bucket and takes one token for a retry.
/// \param Daemons number of daemons that share the budget.
/// \returns false if the budget is exhausted.
bool tryWithdrawRetry(SharedRetryBudget &Budget,
                      const SharedRetryBudgetOptions &Options,
                      std::size_t Daemons, Instant Now);

/// Takes one token of each service for the second run of a request. The run
/// repeats the requests that its upstream sends to other services. If one of
/// these rejects most requests, repeated runs multiply its load.
/// \param Budgets the budgets by service.
/// \returns false, without taking a token, if one of the budgets is exhausted.
bool tryWithdrawRerun(std::map<std::string, SharedRetryBudget> &Budgets,
                      const SharedRetryBudgetOptions &Options,
                      std::size_t Daemons, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_LIMITS_SHARED_RETRY_BUDGET_H

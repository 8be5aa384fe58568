#ifndef LAGOONHITCH_TESTS_HISTORY_CHECKER_H
#define LAGOONHITCH_TESTS_HISTORY_CHECKER_H

/// \file
/// Checks histories for violations of the system's invariants.

#include "tests/history/history.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// Descriptions of the violations found in a history; empty if there are none.
using Violations = std::vector<std::string>;

/// Checks that a shard has at most one owner at any time.
Violations checkSoleOwner(const History &Events);

/// Checks that a non-idempotent call is executed at most once.
Violations checkAtMostOnce(const History &Events);

/// Checks that a call with the outcome `not-run` was not executed.
Violations checkNotRun(const History &Events);

/// Checks that a shard's fencing token never decreases, and that it increases
/// with each change of owner.
Violations checkFencingTokens(const History &Events);

/// Checks that an assignment read from the log is replaced only by newer ones.
Violations checkAssignments(const History &Events);

/// Checks that the answer to an executed call is complete and belongs to it.
Violations checkAnswers(const History &Events);

/// Runs all checks above.
Violations checkAll(const History &Events);

/// A limit of its request rate that an upstream stated for a time.
struct StatedLimit {
  std::string Upstream_;
  /// Requests per second.
  std::uint32_t PerSecond_ = 0;
  /// When all daemons that sent requests knew the limit.
  Instant From_;
  Instant To_;
};

/// Checks that an upstream got no more requests than it stated: in any four
/// seconds at most one and a half times the limit, and five more.
Violations checkStatedLimit(const History &Events, const StatedLimit &Limit);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_HISTORY_CHECKER_H

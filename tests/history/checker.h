#ifndef LAGOONHITCH_TESTS_HISTORY_CHECKER_H
#define LAGOONHITCH_TESTS_HISTORY_CHECKER_H

/// \file
/// Checks histories against what must always hold.

#include "tests/history/history.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// Descriptions of what a history violates; empty if it holds.
using Violations = std::vector<std::string>;

/// A shard has at most one owner at any time.
Violations checkSoleOwner(const History &Events);

/// A call that must not be repeated runs at most once.
Violations checkAtMostOnce(const History &Events);

/// A call whose answer says not-run has no run.
Violations checkNotRun(const History &Events);

/// Fencing tokens never go down and differ between owners.
Violations checkFencingTokens(const History &Events);

/// An assignment that was read back is only followed by newer ones.
Violations checkAssignments(const History &Events);

/// The answer of a call that ran is whole and its own.
Violations checkAnswers(const History &Events);

/// All of the above.
Violations checkAll(const History &Events);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_HISTORY_CHECKER_H

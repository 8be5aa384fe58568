#ifndef LAGOONHITCH_TESTS_PROCESS_RUN_FILES_H
#define LAGOONHITCH_TESTS_PROCESS_RUN_FILES_H

/// \file
/// Reads what the upstreams have recorded.

#include "tests/history/history.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// Adds the runs of all files to a history. Calls whose name begins with POST
/// must run at most once; runs of keyed requests count as servings of the
/// key, from their beginning to their end.
void addRuns(const std::vector<std::string> &Files, History &Events);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_RUN_FILES_H

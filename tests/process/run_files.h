#ifndef LAGOONHITCH_TESTS_PROCESS_RUN_FILES_H
#define LAGOONHITCH_TESTS_PROCESS_RUN_FILES_H

/// \file
/// Reads the files in which upstreams record the requests they execute.

#include "tests/history/history.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// Adds the executions recorded in all files to a history. Calls whose name
/// starts with POST must be executed at most once. For a request with a key,
/// the upstream serves the key from the start to the end of the execution.
void addRuns(const std::vector<std::string> &Files, History &Events);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_RUN_FILES_H

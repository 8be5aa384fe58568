#ifndef LAGOONHITCH_TESTS_PROCESS_PROCESS_USAGE_H
#define LAGOONHITCH_TESTS_PROCESS_PROCESS_USAGE_H

/// \file
/// Reads the memory and the descriptors of a process.

#include <sys/types.h>

#include <cstddef>

namespace lagoonhitch {

/// Returns the largest memory that a process has had, in kilobytes; zero if the
/// process does not run.
std::size_t peakMemory(pid_t Process);

/// Returns the number of descriptors that a process has open.
std::size_t openDescriptors(pid_t Process);

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_PROCESS_USAGE_H

#ifndef LAGOONHITCH_BENCH_PROCESS_USAGE_H
#define LAGOONHITCH_BENCH_PROCESS_USAGE_H

/// \file
/// Processor time and memory of a process, as reported by the kernel in /proc.

#include <sys/types.h>

namespace lagoonhitch {

/// Returns the processor time that a process has used in user and kernel mode,
/// in seconds; zero if there is no such process.
double cpuSeconds(pid_t Id);

/// Returns the resident set size of a process, in bytes; zero if there is no
/// such process.
double residentBytes(pid_t Id);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_PROCESS_USAGE_H

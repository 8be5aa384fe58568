#ifndef LAGOONHITCH_BENCH_PROCESS_USAGE_H
#define LAGOONHITCH_BENCH_PROCESS_USAGE_H

/// \file
/// What a process has used, as the system counts it.

#include <sys/types.h>

namespace lagoonhitch {

/// Returns the processor time that a process has used, in seconds.
double cpuSeconds(pid_t Id);

/// Returns the resident memory of a process, in bytes.
double residentBytes(pid_t Id);

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_PROCESS_USAGE_H

#ifndef LAGOONHITCH_DAEMON_OWNER_OPTIONS_H
#define LAGOONHITCH_DAEMON_OWNER_OPTIONS_H

/// \file
/// Settings of an OwnerService.

#include "limits/admission_options.h"
#include "recovery/dedup_window.h"
#include "recovery/fate_table.h"

#include <chrono>

namespace lagoonhitch {

/// Settings of an OwnerService.
struct OwnerOptions {
  AdmissionOptions Admission_;
  FateOptions Fates_;
  DedupOptions Dedup_;
  /// Upstreams that were silent for longer than this are lost.
  std::chrono::milliseconds AnnounceExpiry_{2000};
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_OWNER_OPTIONS_H

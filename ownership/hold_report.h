#ifndef LAGOONHITCH_OWNERSHIP_HOLD_REPORT_H
#define LAGOONHITCH_OWNERSHIP_HOLD_REPORT_H

/// \file
/// The keys that an upstream holds, as it reports them in a heartbeat.

#include "core/key_range.h"
#include "core/types.h"

#include <string>
#include <vector>

namespace lagoonhitch {

/// Keys that the upstream holds, or that it has been told to release but is
/// still running requests for.
struct ReportedHold {
  KeyRange Range_;
  FencingToken Fence_ = 0;
};

/// Keys that the upstream has released because it was told to. An expired hold
/// is not reported.
struct ReportedRelease {
  KeyRange Range_;
  /// Data for the next owner; empty if none.
  std::string Handover_;
};

/// What an upstream reports about its keys in one heartbeat.
struct HoldReport {
  std::vector<ReportedHold> Holds_;
  /// The releases since its last heartbeat that was acknowledged. A release is
  /// reported again if the acknowledgement was lost.
  std::vector<ReportedRelease> Releases_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_HOLD_REPORT_H

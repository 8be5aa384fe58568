#ifndef LAGOONHITCH_DAEMON_MEMORY_REPORT_H
#define LAGOONHITCH_DAEMON_MEMORY_REPORT_H

/// \file
/// What is reported about requests that servers reject before they handle them.

#include "core/clock.h"
#include "net/request_rejection.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// What was reported so far.
struct MemoryReport {
  RejectionCounts Counted_{};
  /// The numbers in the latest event.
  RejectionCounts Logged_{};
  Instant LoggedAt_;
};

/// Rejections since the last report.
struct NewRejections {
  RequestRejection Reason_ = RequestRejection::Malformed;
  std::uint64_t Count_ = 0;
};

/// Adds the numbers of one server to those of others.
void addCounts(RejectionCounts &Sum, const RejectionCounts &Added);

/// Returns the rejections that were not counted yet.
std::vector<NewRejections> newRejections(MemoryReport &Report,
                                         const RejectionCounts &Counts);

/// Returns the text of an event if requests or connections gave way because
/// memory or descriptors were short, at most once per second; else an empty
/// string.
std::string describeRejections(MemoryReport &Report, std::size_t HeldBytes,
                               Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_MEMORY_REPORT_H

#ifndef LAGOONHITCH_RECOVERY_ANSWER_H
#define LAGOONHITCH_RECOVERY_ANSWER_H

/// \file
/// A stored answer to a request.

#include "core/clock.h"
#include "core/outcome.h"
#include "core/reject_reason.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

/// An answer that is stored for later attempts and status look-ups.
struct Answer {
  Outcome Outcome_ = Outcome::Unknown;
  /// Why the request was rejected; None unless the outcome is NotRun.
  RejectReason RejectReason_ = RejectReason::None;
  /// Time until capacity is expected, if rejected.
  Duration RetryAfter_{};
  /// Whether the upstream itself rejected the request.
  bool RejectedByUpstream_ = false;
  unsigned Status_ = 0;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;
};

/// Answers are immutable and shared between the tables that store them.
using AnswerPtr = std::shared_ptr<const Answer>;

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_ANSWER_H

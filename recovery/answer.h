#ifndef LAGOONHITCH_RECOVERY_ANSWER_H
#define LAGOONHITCH_RECOVERY_ANSWER_H

/// \file
/// A kept answer to a request.

#include "core/outcome.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

/// An answer as it is kept for later attempts and lookups.
struct Answer {
  Outcome Outcome_ = Outcome::Unknown;
  unsigned Status_ = 0;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;
};

/// Answers are shared between the tables that keep them.
using AnswerPtr = std::shared_ptr<const Answer>;

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_ANSWER_H

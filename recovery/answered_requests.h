#ifndef LAGOONHITCH_RECOVERY_ANSWERED_REQUESTS_H
#define LAGOONHITCH_RECOVERY_ANSWERED_REQUESTS_H

/// \file
/// Remembers which requests an upstream has answered.

#include "core/request_fingerprint.h"

#include <array>
#include <cstddef>

namespace lagoonhitch {

/// Remembers which requests an upstream has answered lately. Its size is fixed:
/// a request replaces another one that has the same place.
struct AnsweredRequests {
  static constexpr std::size_t Places = 1024;

  std::array<RequestFingerprint, Places> Requests_{};
};

/// Adds a request that the upstream has answered.
void addAnswered(AnsweredRequests &State, const RequestFingerprint &Request);

/// Returns whether a request is known to have been answered.
bool wasAnswered(const AnsweredRequests &State,
                 const RequestFingerprint &Request);

} // namespace lagoonhitch

#endif // LAGOONHITCH_RECOVERY_ANSWERED_REQUESTS_H

#include "recovery/answered_requests.h"

namespace lagoonhitch {

namespace {

std::size_t placeOf(const RequestFingerprint &Request) {
  return Request.Value_ % AnsweredRequests::Places;
}

} // namespace

void addAnswered(AnsweredRequests &State, const RequestFingerprint &Request) {
  State.Requests_[placeOf(Request)] = Request;
}

bool wasAnswered(const AnsweredRequests &State,
                 const RequestFingerprint &Request) {
  return State.Requests_[placeOf(Request)] == Request;
}

} // namespace lagoonhitch

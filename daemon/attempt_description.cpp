#include "daemon/attempt_description.h"

#include "membership/fleet.h"

#include <absl/strings/str_cat.h>

namespace lagoonhitch {

AttemptLookup toAttemptLookup(HttpCallStatus Status,
                              AttemptStatusReply::Kind Reply) {
  if (Status == HttpCallStatus::NotSent)
    return AttemptLookup::Unreachable;
  if (Status != HttpCallStatus::Completed)
    return AttemptLookup::TimedOut;
  switch (Reply) {
  case AttemptStatusReply::Kind::Running:
    return AttemptLookup::Running;
  case AttemptStatusReply::Kind::Ended:
    return AttemptLookup::Ended;
  case AttemptStatusReply::Kind::Unknown:
    return AttemptLookup::Unknown;
  }
  return AttemptLookup::Unknown;
}

const char *describeLostCall(HttpCallStatus Status) {
  switch (Status) {
  case HttpCallStatus::NotSent:
    return "no connection could be opened";
  case HttpCallStatus::ConnectionLost:
    return "the connection broke";
  case HttpCallStatus::TimedOut:
  case HttpCallStatus::Completed:
    break;
  }
  return "no response in time";
}

const char *describeLookup(AttemptLookup Lookup) {
  switch (Lookup) {
  case AttemptLookup::Running:
    return "the attempt is running";
  case AttemptLookup::Ended:
    return "the gateway has finished or rejected the attempt";
  case AttemptLookup::Unknown:
    return "the gateway does not know the attempt or its answer";
  case AttemptLookup::TimedOut:
    return "no response to the status query";
  case AttemptLookup::Unreachable:
    return "the status query could not be sent";
  }
  return "";
}

std::string describeLastHost(const FleetMember &Member, Instant Now) {
  if (Member.LastDigestAt_ == Instant::min())
    return {};
  return absl::StrCat(
      "; last sent to ", Member.Record_.Host_, ", last contact ",
      toMillis(Now - Member.LastDigestAt_).count(), " ms ago, ",
      Member.Digest_.Running_, " running and ", Member.Digest_.Queued_,
      " queued, ", Member.Digest_.Slots_, " slots");
}

} // namespace lagoonhitch

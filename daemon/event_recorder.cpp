#include "daemon/event_recorder.h"

#include "core/clock.h"
#include "observe/audit_trail.h"
#include "observe/event_log.h"
#include "observe/metrics.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace lagoonhitch {

EventRecorder::EventRecorder(const Clock &Time, std::string Host, EventLog &Log,
                             AuditTrail &Trail, Metrics &Counters)
    : Time_(Time), Host_(std::move(Host)), Log_(Log), Trail_(Trail),
      Counters_(Counters) {}

void EventRecorder::record(EventId Id, const std::string &Subject) {
  Counters_.countEvent(eventInfo(Id).Name_);
  Log_.write(Id, {{"subject", Subject}});
  if (isAuditEvent(Id))
    Trail_.add({0,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    Time_.wallNow().time_since_epoch()),
                Host_, eventInfo(Id).Name_, Subject, ""});
}

void EventRecorder::recordRequest(EventId Id, const std::string &Request,
                                  const std::string &Reason,
                                  const std::string &Parent) {
  Counters_.countEvent(eventInfo(Id).Name_);
  nlohmann::json Details = {{"request", Request}, {"why", Reason}};
  if (!Parent.empty())
    Details["parent"] = Parent;
  Log_.write(Id, Details);
}

} // namespace lagoonhitch

#ifndef LAGOONHITCH_DAEMON_EVENT_RECORDER_H
#define LAGOONHITCH_DAEMON_EVENT_RECORDER_H

/// \file
/// Records the events of a daemon in its log, its metrics and its audit trail.

#include "core/event_catalog.h"

#include <string>

namespace lagoonhitch {

class AuditTrail;
class Clock;
class EventLog;
class Metrics;

/// Writes events to the log and counts them in the metrics. Changes that
/// operators can look up are added to the audit trail.
class EventRecorder {
public:
  /// \param Host the daemon's host, named in the audit trail.
  EventRecorder(const Clock &Time, std::string Host, EventLog &Log,
                AuditTrail &Trail, Metrics &Counters);

  /// Records an event and what it is about.
  void record(EventId Id, const std::string &Subject);

  /// Records an event of one request and its reason. Such events are not in the
  /// audit trail.
  /// \param Parent the running request that made this one as a call; empty if
  /// it is none.
  void recordRequest(EventId Id, const std::string &Request,
                     const std::string &Reason,
                     const std::string &Parent = std::string());

private:
  const Clock &Time_;
  std::string Host_;
  EventLog &Log_;
  AuditTrail &Trail_;
  Metrics &Counters_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_EVENT_RECORDER_H

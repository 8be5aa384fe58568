#ifndef LAGOONHITCH_OBSERVE_EVENT_LOG_H
#define LAGOONHITCH_OBSERVE_EVENT_LOG_H

/// \file
/// Writes numbered events as JSON lines.

#include "core/event_catalog.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lagoonhitch {

class Clock;

/// Writes numbered events as JSON lines to the standard error stream.
/// Thread-safe.
class EventLog {
public:
  /// \param Time gives the time stamps.
  /// \param Host the name that stands in each line.
  EventLog(const Clock &Time, std::string Host);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Writes an event with its details, a JSON object.
  void write(EventId Id, const nlohmann::json &Details) const;

private:
  const Clock &Time_;
  std::string Host_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OBSERVE_EVENT_LOG_H

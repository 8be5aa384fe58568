#ifndef LAGOONHITCH_OBSERVE_EVENT_LOG_H
#define LAGOONHITCH_OBSERVE_EVENT_LOG_H

/// \file
/// Writes log events as JSON lines.

#include "core/bounded_ring.h"
#include "core/event_catalog.h"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace lagoonhitch {

class Clock;

/// Writes log events as JSON lines to standard output, on a separate thread fed
/// by a bounded queue. A line is dropped if the queue is full or its event
/// exceeds the rate limit; the event's next line reports the number of dropped
/// lines. Thread-safe.
class EventLog {
public:
  /// \param Time the clock for timestamps.
  /// \param Host the host's name, included in each line.
  EventLog(const Clock &Time, std::string Host);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Writes an event.
  /// \param Details a JSON object.
  void write(EventId Id, const nlohmann::json &Details);

  /// Writes all queued lines and stops the thread. write() must not be called
  /// afterwards.
  void close();

private:
  struct Line {
    int Level_ = 0;
    /// The formatted line; empty to stop the thread.
    std::string Text_;
  };
  /// The rate limit of one event: lines written in the current second, and
  /// lines dropped since the last written one.
  struct RateWindow {
    std::int64_t Second_ = 0;
    std::uint32_t Written_ = 0;
    std::uint64_t Dropped_ = 0;
  };

  void run();

  const Clock &Time_;
  std::string Host_;
  std::mutex Mutex_;
  std::map<EventId, RateWindow> RateWindows_;
  BoundedRing<Line> Ring_;
  std::thread Thread_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OBSERVE_EVENT_LOG_H

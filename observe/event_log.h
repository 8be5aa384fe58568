#ifndef LAGOONHITCH_OBSERVE_EVENT_LOG_H
#define LAGOONHITCH_OBSERVE_EVENT_LOG_H

/// \file
/// Writes numbered events as JSON lines.

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

/// Writes numbered events as JSON lines to the standard output, on a thread of
/// its own behind a bounded ring. A line that finds the ring full, or that is
/// one of too many alike in a second, is dropped and counted; the next line of
/// its event tells how many were. Thread-safe.
class EventLog {
public:
  /// \param Time gives the time stamps.
  /// \param Host the name that stands in each line.
  EventLog(const Clock &Time, std::string Host);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Writes an event with its details, a JSON object.
  void write(EventId Id, const nlohmann::json &Details);

  /// Ends the thread once all lines are written; no line may follow.
  void close();

private:
  struct Line {
    int Level_ = 0;
    /// An empty text ends the thread.
    std::string Text_;
  };
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

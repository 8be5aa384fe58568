#ifndef LAGOONHITCH_DAEMON_LOG_APPENDER_H
#define LAGOONHITCH_DAEMON_LOG_APPENDER_H

/// \file
/// The thread that appends to the ownership stream.

#include "core/bounded_ring.h"
#include "ownership/record.h"
#include "platform/log_client.h"

#include <optional>
#include <thread>

namespace lagoonhitch {

/// Appends records in order, each once; who needs more reads the stream. Its
/// own thread.
class LogAppender {
public:
  /// \param Log the stream; used by this thread only.
  explicit LogAppender(LogClient &Log);
  ~LogAppender();
  LogAppender(const LogAppender &) = delete;
  LogAppender &operator=(const LogAppender &) = delete;

  /// Queues a record; returns false if the ring is full.
  bool append(Record Entry);

private:
  void run();

  LogClient &Log_;
  /// An empty item ends the thread.
  BoundedRing<std::optional<Record>> Ring_;
  std::thread Thread_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_LOG_APPENDER_H

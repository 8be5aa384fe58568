#ifndef LAGOONHITCH_DAEMON_LOG_READER_H
#define LAGOONHITCH_DAEMON_LOG_READER_H

/// \file
/// The thread that reads the ownership stream.

#include "control/control.h"
#include "platform/log_client.h"

#include <atomic>
#include <functional>
#include <thread>

namespace lagoonhitch {

/// Reads the ownership stream and hands on decoded batches. Its own thread.
class LogReader {
public:
  using Receiver = std::function<void(LogBatch)>;
  using StatusReceiver = std::function<void(bool Available)>;

  /// \param Log the stream; used by this thread only.
  /// \param Receive takes each batch, on this thread.
  /// \param Status is told when the log goes away and comes back.
  LogReader(LogClient &Log, Receiver Receive, StatusReceiver Status);
  ~LogReader();
  LogReader(const LogReader &) = delete;
  LogReader &operator=(const LogReader &) = delete;

private:
  void run();
  void readOnce();
  void setAvailable(bool Available);

  LogClient &Log_;
  Receiver Receive_;
  StatusReceiver Status_;
  Offset Next_ = 0;
  bool Available_ = true;
  std::atomic<bool> Stopping_ = false;
  std::thread Thread_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_LOG_READER_H

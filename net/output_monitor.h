#ifndef LAGOONHITCH_NET_OUTPUT_MONITOR_H
#define LAGOONHITCH_NET_OUTPUT_MONITOR_H

/// \file
/// Watches whether peers acknowledge what is written to their connections.
/// Internal to net/.

#include "net/output_progress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <set>

namespace lagoonhitch {

/// A connection whose output is watched.
struct MonitoredOutput {
  /// The file descriptor of the connection.
  int Socket_ = -1;
  /// Called once if the peer is gone.
  std::function<void()> OnPeerGone_;
  /// Called while the peer is there but does not read; may be empty.
  std::function<void()> OnWindowClosed_;
  OutputProgress Progress_;
};

/// Checks connections from a while after data was written to them until it is
/// acknowledged. Connections in lively use cost no system call. Does nothing
/// where the kernel does not report what is delivered; see configureSocket().
class OutputMonitor {
public:
  explicit OutputMonitor(boost::asio::io_context &Context) : Timer_(Context) {}
  OutputMonitor(const OutputMonitor &) = delete;
  OutputMonitor &operator=(const OutputMonitor &) = delete;

  /// Watches a connection to which data is being written. To be called again
  /// for further data.
  void onWritten(MonitoredOutput &Output);

  /// Ends watching a connection. Does nothing if it is not watched.
  void remove(MonitoredOutput &Output);

private:
  Duration timeToNextCheck(Instant Now) const;
  void scheduleCheck();
  void checkAll();
  void check(MonitoredOutput &Output, Instant Now);

  boost::asio::steady_timer Timer_;
  bool CheckScheduled_ = false;
  std::set<MonitoredOutput *> Watched_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_OUTPUT_MONITOR_H

#ifndef LAGOONHITCH_NET_IO_LOOP_H
#define LAGOONHITCH_NET_IO_LOOP_H

/// \file
/// A single-threaded event loop for sockets, timers and posted tasks.

#include "core/clock.h"

#include <exception>
#include <functional>
#include <memory>

namespace lagoonhitch {

/// Runs tasks on the thread that calls run(). Only post() and stop() may be
/// called from other threads.
class IoLoop {
public:
  /// Receives what a task has thrown.
  using ErrorHandler = std::function<void(const std::exception &)>;

  /// \param OnError if empty, run() throws what a task throws. Otherwise, the
  /// loop continues with the next task after it.
  explicit IoLoop(ErrorHandler OnError = {});
  ~IoLoop();
  IoLoop(const IoLoop &) = delete;
  IoLoop &operator=(const IoLoop &) = delete;

  /// Runs tasks until stop() is called.
  void run();

  /// Runs tasks until none is pending. Can be called again after stop().
  void runUntilIdle();

  /// Makes run() return.
  void stop();

  /// Allows run() to be called again after stop().
  void restart();

  /// Runs a task on the loop's thread. Can be called from any thread.
  void post(std::function<void()> Task);

  /// Runs a task after a delay, unless the returned handle is destroyed or
  /// reset first.
  std::shared_ptr<void> after(Duration Delay, std::function<void()> Task);

  /// State that uses types of Boost.Asio.
  struct Impl;

  /// Returns the Boost.Asio state. For the implementation files of net only.
  Impl &impl() { return *Impl_; }

private:
  ErrorHandler OnError_;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_IO_LOOP_H

#ifndef LAGOONHITCH_NET_IO_LOOP_H
#define LAGOONHITCH_NET_IO_LOOP_H

/// \file
/// The event loop of one thread: sockets, timers and posted work.

#include "core/clock.h"

#include <functional>
#include <memory>

namespace lagoonhitch {

/// Runs work on the one thread that calls run(). Only post() and stop() may
/// be called from other threads.
class IoLoop {
public:
  IoLoop();
  ~IoLoop();
  IoLoop(const IoLoop &) = delete;
  IoLoop &operator=(const IoLoop &) = delete;

  /// Runs work until stop() is called.
  void run();

  /// Runs work until there is none left.
  void runUntilIdle();

  /// Makes run() return.
  void stop();

  /// Lets run() be called again after a stop().
  void restart();

  /// Runs the work on the loop's thread; callable from any thread.
  void post(std::function<void()> Task);

  /// Runs the work once the delay has passed, unless the returned handle is
  /// destroyed or reset before that.
  std::shared_ptr<void> after(Duration Delay, std::function<void()> Task);

  /// The library's types, for the back ends in this folder only.
  struct Impl;

  /// Returns the library's types, for the back ends in this folder only.
  Impl &impl() { return *Impl_; }

private:
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_IO_LOOP_H

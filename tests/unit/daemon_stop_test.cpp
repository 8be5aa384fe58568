/// \file
/// Tests how long a daemon takes to stop.

#define BOOST_TEST_MODULE daemon_stop
#include "daemon/daemon.h"
#include "platform/monotonic_clock.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

namespace lagoonhitch {

namespace {

using std::chrono::seconds;

DaemonSettings settings() {
  const std::string Any = "127.0.0.1:0";
  DaemonSettings Settings;
  Settings.Services_.emplace_back().Name_ = "katalog";
  Settings.Host_ = "h0";
  Settings.Service_ = "katalog";
  // Nothing listens there.
  Settings.StoreAddress_ = "127.0.0.1:1";
  Settings.UpstreamAddress_ = "127.0.0.1:1";
  Settings.CallersAddress_ = Any;
  Settings.HeartbeatAddress_ = Any;
  Settings.PeersAddress_ = Any;
  Settings.AdminAddress_ = Any;
  return Settings;
}

} // namespace

/// The process is killed some time after the signal, also if the serving thread
/// was busy when it came.
BOOST_AUTO_TEST_CASE(StopIsCountedFromWhenItIsHandled) {
  constexpr seconds Busy{4};
  const MonotonicClock Time;
  Daemon Stopped(Time, settings(), settings, 1);
  const Instant StoppedAt = Time.now();
  Stopped.stop();
  std::this_thread::sleep_for(Busy);
  Stopped.run();
  BOOST_TEST((Time.now() - StoppedAt < settings().Bounds_.StopTimeout_));
}

} // namespace lagoonhitch

#ifndef LAGOONHITCH_DAEMON_CONTROL_THREAD_H
#define LAGOONHITCH_DAEMON_CONTROL_THREAD_H

/// \file
/// The thread that makes the control decisions.

#include "control/control.h"
#include "control/routing_view.h"
#include "core/bounded_ring.h"
#include "core/clock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace lagoonhitch {

class ControlLink;
class LogAppender;

/// What the control thread hands to other threads.
struct ControlOutputs {
  std::function<void(std::shared_ptr<const RoutingView>)> View_;
  std::function<void(Instant)> LeaseUntil_;
  std::function<void(EventId, const std::string &)> Event_;
  std::function<void(Offset, const Record &)> Effective_;
  /// An orderly stop is complete.
  std::function<void()> Left_;
};

/// Feeds events from a bounded ring into the decisions of control/control.h
/// and carries out their actions. Its own thread; the functions that hand in
/// events may be called from any thread.
class ControlThread {
public:
  ControlThread(const Clock &Time, ControlState Initial, ControlLink &Link,
                LogAppender &Appender, ControlOutputs Outputs);
  ~ControlThread();
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  /// Hands in a message; it is dropped if the ring is full.
  void message(LeaseMessage Message);

  /// Hands in a batch of the log; waits for room.
  void logBatch(LogBatch Batch);

  /// Hands in the upstreams' slots; waits for room.
  void slots(std::map<std::string, std::uint32_t> Slots);

  /// Hands in the end of a shard's last request; waits for room.
  void drained(ShardRef Ref);

  /// Starts an orderly stop.
  void leave();

private:
  struct Tick {};
  struct Leave {};
  struct Stop {};
  using Event =
      std::variant<Tick, LeaseMessage, LogBatch,
                   std::map<std::string, std::uint32_t>, ShardRef, Leave, Stop>;

  void run();
  void runTicker();
  void handle(Event &Incoming);
  void carryOut(const ControlActions &Actions);
  void send(const LeaseMessage &Message);

  /// How long a peer may be silent while messages are sent to it before its
  /// connection is opened anew.
  struct PeerLink {
    Instant SentSince_;
    bool Waiting_ = false;
  };

  const Clock &Time_;
  ControlState State_;
  ControlLink &Link_;
  LogAppender &Appender_;
  ControlOutputs Outputs_;
  std::map<MemberId, PeerLink> PeerLinks_;
  BoundedRing<Event> Ring_;
  std::atomic<bool> Stopping_ = false;
  std::thread Thread_;
  std::thread Ticker_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_CONTROL_THREAD_H

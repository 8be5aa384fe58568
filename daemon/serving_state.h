#ifndef LAGOONHITCH_DAEMON_SERVING_STATE_H
#define LAGOONHITCH_DAEMON_SERVING_STATE_H

/// \file
/// What the request path shares with the control thread.

#include "control/routing_view.h"
#include "core/clock.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace lagoonhitch {

/// What the request path shares with the control thread. The view belongs to
/// the serving thread; only the lease is read across threads.
class ServingState {
public:
  /// Returns the view; serving thread only.
  const RoutingView &view() const { return *View_; }

  /// Replaces the view; serving thread only.
  void setView(std::shared_ptr<const RoutingView> View) {
    View_ = std::move(View);
  }

  /// Returns until when this daemon may serve.
  Instant leaseUntil() const {
    return Instant(Duration(LeaseTicks_.load(std::memory_order_acquire)));
  }

  /// Sets until when this daemon may serve; control thread only.
  void setLeaseUntil(Instant Until) {
    LeaseTicks_.store(Until.time_since_epoch().count(),
                      std::memory_order_release);
  }

private:
  std::shared_ptr<const RoutingView> View_ = [] {
    RoutingView Empty;
    Empty.Table_ = std::make_shared<const Table>();
    return std::make_shared<const RoutingView>(std::move(Empty));
  }();
  std::atomic<Duration::rep> LeaseTicks_ = INT64_MIN;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_SERVING_STATE_H

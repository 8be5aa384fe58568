#ifndef LAGOONHITCH_ROUTING_SERVICE_ROOM_H
#define LAGOONHITCH_ROUTING_SERVICE_ROOM_H

/// \file
/// Decides from load reports whether any upstream of a shared service can start
/// a request in time.

#include "core/clock.h"
#include "limits/admission_queue.h"
#include "membership/fleet.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace lagoonhitch {

/// Settings of serviceRoom() and rejectAtOnce().
struct ServiceRoomOptions {
  /// How much later than the member's next digest is due a report still counts.
  std::chrono::milliseconds ReportMargin_{350};
  /// Oldest report that counts, whatever the interval of digests is.
  std::chrono::milliseconds MaxReportAge_{1500};
  /// Age from which on no requests are sent to a member, as in chooseHost().
  std::chrono::milliseconds MaxLoadAge_{1500};
  /// A longer reported wait is not believed. Queues hold no request longer,
  /// since timeouts of routes are at most 60 s.
  std::chrono::milliseconds MaxReportedWait_{60000};
  /// Share of the requests that are sent although all upstreams seem full, so
  /// that wrong reports are corrected by those of the responses.
  double ProbeShare_ = 0.03;
  /// Requests with less time left are sent: the shortest Retry-After with its
  /// jitter would be after their deadline.
  std::chrono::milliseconds MinTimeLeft_{150};
  /// Longest Retry-After as a fraction of the time to the deadline. With the
  /// jitter of rejections it is at most three quarters.
  double MaxRetryFraction_ = 0.5;
  /// The rule by which gateways admit requests.
  AdmissionQueueOptions Admission_;
};

/// Whether the upstreams of a service can start a request in time.
struct ServiceRoom {
  /// Whether the reports of all upstreams that requests are sent to are recent
  /// and none of these can.
  bool Full_ = false;
  /// If full: the times until the first and until the last of them can.
  Duration First_{};
  Duration Last_{};
  /// If full: the expected processing time of the request.
  Duration ProcessingTime_{};
};

/// Returns whether the upstreams of a service can start a request in time, by
/// their reports. One without slots or with an unknown or absurd wait counts as
/// one that can.
/// \param Request its rank, deadline, objective and timeout are used.
/// \param Tried hosts that are left out.
ServiceRoom serviceRoom(const Fleet &State, const std::string &Service,
                        const QueuedRequest &Request,
                        const std::set<std::string> &Tried,
                        const ServiceRoomOptions &Options, Instant Now);

/// Returns the Retry-After of a request that is rejected without being sent;
/// std::nullopt if it is to be sent. The times of several requests are spread
/// over the time in which there will be room.
/// \param Random a uniformly distributed random number.
std::optional<Duration> rejectAtOnce(const ServiceRoom &Room,
                                     const QueuedRequest &Request,
                                     const ServiceRoomOptions &Options,
                                     std::uint64_t Random, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_SERVICE_ROOM_H

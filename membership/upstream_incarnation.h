#ifndef LAGOONHITCH_MEMBERSHIP_UPSTREAM_INCARNATION_H
#define LAGOONHITCH_MEMBERSHIP_UPSTREAM_INCARNATION_H

/// \file
/// What a daemon believes of the upstream beside it.

#include "core/clock.h"
#include "membership/upstream_heartbeat.h"
#include "ownership/key_ownership_state.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lagoonhitch {

/// What became of a heartbeat.
enum class AnnouncementResult {
  /// It told something new.
  Taken,
  /// It is older than what is known; it changes nothing.
  Stale,
  /// It is not of the upstream beside this daemon.
  Foreign,
};

/// The present life of the upstream beside a daemon.
struct UpstreamLife {
  Announcement Last_;
  Instant HeardAt_ = Instant::min();
  /// Whether it said that it leaves, or that it has left.
  bool Leaving_ = false;
  /// Whether it has ended for certain.
  bool Ended_ = false;
  /// Whether it has been silent for too long.
  bool Silent_ = false;
};

/// Takes a heartbeat.
/// \param Service, \param Address of the upstream beside this daemon.
AnnouncementResult takeAnnouncement(std::optional<UpstreamLife> &Life,
                                    const Announcement &Heard,
                                    const std::string &Service,
                                    const std::string &Address, Instant Now);

/// Takes a farewell; returns whether it was this life's.
bool takeFarewell(std::optional<UpstreamLife> &Life,
                  const std::string &Upstream);

/// A farewell of an upstream that was not heard of before, as by a daemon that
/// has just started.
struct EarlyFarewell {
  std::string Upstream_;
  /// Calendar time at which it came.
  std::chrono::milliseconds At_{0};
};

/// Returns whether the life that is heard said farewell before; late heartbeats
/// of it may follow. One that began after the farewell is another.
bool leftBefore(const std::optional<EarlyFarewell> &Farewell,
                const Announcement &Heard);

/// Returns what the keys depend on.
LocalUpstream ownUpstream(const std::optional<UpstreamLife> &Life);

/// Returns whether the upstream takes new requests.
bool takesRequests(const std::optional<UpstreamLife> &Life);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_UPSTREAM_INCARNATION_H

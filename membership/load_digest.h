#ifndef LAGOONHITCH_MEMBERSHIP_LOAD_DIGEST_H
#define LAGOONHITCH_MEMBERSHIP_LOAD_DIGEST_H

/// \file
/// The digests and reports by which daemons share their upstreams' load.

#include "membership/hot_key.h"
#include "membership/upstream_work.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// A daemon's liveness and its upstream's load, sent to other daemons up to
/// several times a second.
struct LoadDigest {
  std::string Host_;
  /// The random number of the daemon's process.
  std::uint64_t Process_ = 0;
  /// Increases with each digest of that process.
  std::uint64_t Sequence_ = 0;
  /// Time until the next digest, in milliseconds.
  std::uint32_t IntervalMillis_ = 0;
  /// Whether the daemon admits new requests for its upstream.
  bool Accepting_ = false;
  /// Whether the daemon is shutting down.
  bool Stopping_ = false;
  /// Whether the host gained keys a short time ago, so that its load is not yet
  /// stable.
  bool RecentlyGainedKeys_ = false;
  /// Requests that the upstream runs.
  std::uint32_t Running_ = 0;
  /// Requests in the daemon's admission queue.
  std::uint32_t Queued_ = 0;
  /// How many requests the upstream runs concurrently.
  std::uint32_t Slots_ = 0;
  /// Usual time from the start of a request to its response, in milliseconds.
  std::uint32_t ProcessingMillis_ = 0;
  /// The lease epoch of the host's keys.
  std::uint64_t KeyEpoch_ = 0;
  /// Request rate of the owned keys, in hundredths of a request per second.
  std::uint32_t KeyRate_ = 0;
  /// Limit of the upstream's request rate, per second; zero if it has none.
  std::uint32_t RateLimit_ = 0;
  /// End offset of the configuration topic, as far as known.
  std::uint64_t ConfigEnd_ = 0;
  /// End offset of the member topic, as far as known.
  std::uint64_t MembersEnd_ = 0;
  /// End offset of the topic of the service's key table, as far as known.
  std::uint64_t TableEnd_ = 0;
  /// The upstream's work and speed; unknown if the daemon reports none.
  UpstreamWork Work_;
  /// Owned keys with more requests than the upstream can run; at most
  /// MaxHotKeys.
  std::vector<HotKey> HotKeys_;
};

/// The load of an upstream, as its daemon reports it with a response. The
/// fields are those of LoadDigest.
struct LoadReport {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0;
  std::uint32_t ProcessingMillis_ = 0;
  std::uint32_t RateLimit_ = 0;
  UpstreamWork Work_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_LOAD_DIGEST_H

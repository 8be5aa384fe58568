#ifndef LAGOONHITCH_MEMBERSHIP_LOAD_DIGEST_H
#define LAGOONHITCH_MEMBERSHIP_LOAD_DIGEST_H

/// \file
/// What a daemon tells all others of its upstream's load several times a
/// second.

#include <cstdint>
#include <string>

namespace lagoonhitch {

/// A daemon's liveness and its upstream's load.
struct LoadDigest {
  std::string Host_;
  /// The random number of the daemon's process.
  std::uint64_t Process_ = 0;
  /// Grows with every digest of that process.
  std::uint64_t Sequence_ = 0;
  /// Time to the next digest.
  std::uint32_t IntervalMillis_ = 0;
  /// Whether the daemon hands new requests to its upstream.
  bool Accepting_ = false;
  /// Whether the daemon is about to stop.
  bool Stopping_ = false;
  /// Whether it has got keys a moment ago, so that its load still settles.
  bool RecentlyGainedKeys_ = false;
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0;
  /// Usual time from the start of a request to its answer.
  std::uint32_t ProcessingMillis_ = 0;
  /// The lease epoch of the daemon's keys.
  std::uint64_t KeyEpoch_ = 0;
  /// Requests for owned keys, in hundredths a second.
  std::uint32_t KeyRate_ = 0;
  /// Requests a second that a cold upstream gets; zero if it is not cold.
  std::uint32_t ColdRate_ = 0;
  /// Where the topics of configuration and of members end, as far as known.
  std::uint64_t ConfigEnd_ = 0;
  std::uint64_t MembersEnd_ = 0;
  /// Where the topic of the service's table ends.
  std::uint64_t TableEnd_ = 0;
};

/// The load of an upstream, as its daemon tells it with an answer.
struct LoadReport {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  std::uint32_t Slots_ = 0;
  std::uint32_t ProcessingMillis_ = 0;
  std::uint32_t ColdRate_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_LOAD_DIGEST_H

#include "membership/poll_schedule.h"

#include <xxhash.h>

#include <algorithm>

namespace lagoonhitch {

namespace {

/// Number of hosts that read at short intervals.
constexpr std::size_t OftenReadingHosts = 3;
/// How long their reads wait. A read that was lost with the store's last moment
/// of failure is repeated before the store counts as stable again.
constexpr std::chrono::milliseconds ShortReadTimeout{2000};
/// Bounds of how long the reads of the other hosts wait.
constexpr std::chrono::milliseconds MinReadTimeout{7500};
constexpr std::chrono::milliseconds MaxReadTimeout{10000};
/// Age of the last digest from which a host counts as failed, and how long a
/// new member may take to send its first one.
constexpr std::chrono::milliseconds MaxDigestAge{3000};

XXH64_hash_t hashOf(const std::string &Host, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Host.data(), Host.size(), Seed);
}

bool isKnownToRun(const FleetMember &Member, Instant Now) {
  if (Member.LastDigestAt_ == Instant::min())
    return Now - Member.FirstSeenAt_ < MaxDigestAge;
  return hasRecentDigest(Member, MaxDigestAge, Now);
}

} // namespace

bool readsOften(const Fleet &State, const std::string &Host, Instant Now) {
  const XXH64_hash_t Own = hashOf(Host, 0);
  const auto Before = std::count_if(
      State.Members_.begin(), State.Members_.end(), [&](const auto &Entry) {
        return hashOf(Entry.first, 0) < Own && isKnownToRun(Entry.second, Now);
      });
  return static_cast<std::size_t>(Before) < OftenReadingHosts;
}

std::chrono::milliseconds readTimeout(const Fleet &State,
                                      const std::string &Host,
                                      std::uint64_t ReadNumber, Instant Now) {
  if (readsOften(State, Host, Now))
    return ShortReadTimeout;
  const auto Range =
      static_cast<std::uint64_t>((MaxReadTimeout - MinReadTimeout).count());
  return MinReadTimeout +
         std::chrono::milliseconds(hashOf(Host, ReadNumber) % (Range + 1));
}

} // namespace lagoonhitch

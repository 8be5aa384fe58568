#ifndef LAGOONHITCH_BENCH_DECISIONS_FLEET_POLICY_H
#define LAGOONHITCH_BENCH_DECISIONS_FLEET_POLICY_H

/// \file
/// What is decided for a fleet of hosts with one upstream each: where a request
/// goes, and when its upstream gets it.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace lagoonhitch {

/// A request at a door.
struct BenchTicket {
  std::uint64_t Number_ = 0;
  /// From low to high.
  std::size_t Class_ = 0;
  Instant SentAt_;
  Instant Deadline_;
};

/// How an upstream ended a request.
enum class BenchEnd { Good, Error, Shed };

/// What becomes of a request at a door.
enum class BenchVerdict { Start, Wait, Refuse };

/// What has become of requests that waited, by their numbers.
struct BenchChange {
  std::vector<std::uint64_t> Started_;
  std::vector<std::uint64_t> Dropped_;
};

/// The decisions of all hosts of a fleet; hosts are numbered from zero.
class Decisions {
public:
  virtual ~Decisions() = default;

  /// Chooses the host for a request of an entry.
  /// \param Tried hosts that have refused it.
  virtual std::size_t choose(std::size_t Entry,
                             const std::set<std::size_t> &Tried,
                             Instant Now) = 0;

  /// Counts a request that is sent.
  virtual void onSent(std::size_t Entry, std::size_t Target) = 0;

  /// Takes the end of an attempt at its entry.
  virtual void onAnswered(std::size_t Entry, std::size_t Target, Duration Took,
                          bool Refused, Instant Now) = 0;

  /// Takes a request at a door.
  virtual BenchVerdict admit(std::size_t Owner, const BenchTicket &Ticket,
                             Instant Now) = 0;

  /// Takes the end of a request that was started.
  virtual BenchChange onEnded(std::size_t Owner, const BenchTicket &Ticket,
                              BenchEnd End, Duration Took, Instant Now) = 0;

  /// Does what is due now and then.
  virtual BenchChange tick(std::size_t Owner, Instant Now) = 0;

  /// Takes the word of a host's upstream that it is cold.
  virtual void onCold(std::size_t Owner, Duration For, double PerSecond,
                      Instant Now) = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_BENCH_DECISIONS_FLEET_POLICY_H

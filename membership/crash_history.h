#ifndef LAGOONHITCH_MEMBERSHIP_CRASH_HISTORY_H
#define LAGOONHITCH_MEMBERSHIP_CRASH_HISTORY_H

/// \file
/// Finds the requests that crash the upstreams which run them.

#include "core/clock.h"
#include "membership/upstream_crash.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lagoonhitch {

/// Settings of a CrashHistory.
struct CrashHistoryOptions {
  /// The crashes after which a request is quarantined.
  std::size_t MaxCrashes_ = 3;
  /// How long a quarantine lasts after the last crash. It doubles with each
  /// further one.
  std::chrono::minutes Quarantine_{10};
  std::chrono::minutes MaxQuarantine_{120};
  /// Maximum number of crashes that are remembered. The oldest are dropped.
  std::size_t MaxEntries_ = 256;
};

/// The crashes of all upstreams of the site, as far as this daemon knows, and
/// the requests that were running then.
struct CrashHistory {
  /// The identifier and the start time of an upstream's incarnation.
  using Incarnation = std::pair<std::string, std::int64_t>;

  struct Entry {
    Instant At_;
    std::set<RequestFingerprint> Requests_;
  };

  /// The crashes in which a request was running.
  struct Suspect {
    std::size_t Crashes_ = 0;
    Instant LastAt_ = Instant::min();
  };

  CrashHistoryOptions Options_;
  std::map<Incarnation, Entry> Entries_;
  /// Derived from Entries_.
  std::map<RequestFingerprint, Suspect> Suspects_;
};

/// Adds a crash. One that is known already may name further requests.
/// \param Age the time since the crash.
/// \returns the requests that are quarantined now and were not before.
std::vector<RequestFingerprint> addCrash(CrashHistory &State,
                                         const UpstreamCrash &Crash,
                                         Duration Age, Instant Now);

/// Returns how long a request must not be sent to an upstream; std::nullopt if
/// it may be sent.
std::optional<Duration> quarantineLeft(const CrashHistory &State,
                                       const RequestFingerprint &Request,
                                       Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_MEMBERSHIP_CRASH_HISTORY_H

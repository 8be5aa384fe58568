#ifndef LAGOONHITCH_TESTS_PROCESS_SITE_FIXTURE_H
#define LAGOONHITCH_TESTS_PROCESS_SITE_FIXTURE_H

/// \file
/// The fixture of tests that put a Site under load.

#include "platform/monotonic_clock.h"
#include "tests/history/history.h"
#include "tests/process/load_generator.h"
#include "tests/process/site.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace lagoonhitch {

/// Suspends the calling thread.
void sleepFor(std::chrono::milliseconds Span);

/// A site under load from callers that use the daemons of hosts 0 and 1.
struct SiteFixture {
  explicit SiteFixture(const SiteOptions &Options = SiteOptions());

  /// Starts the load and lets it run for a moment.
  /// \param Options the load; its addresses are set by this function.
  void startLoad(LoadGeneratorOptions Options = LoadGeneratorOptions());

  /// Returns a host that owns a key and whose daemon the callers don't use.
  std::uint32_t findOwner() const;

  /// Suspends the daemon of an owner for a time under load. All calls must
  /// succeed again afterwards.
  void suspendOwner(std::chrono::milliseconds Span);

  /// Stops the load and checks the history of calls and executions.
  void finishAndCheck();

  /// Checks that the outcome of every finished call is Ran.
  void checkAllRan() const;

  /// Checks that upstreams have executed every call exactly once. Call it only
  /// after finishAndCheck().
  void checkEachRanOnce() const;

  /// Returns how many requests the current upstream of a host has begun to run
  /// since a time. Call it only after finishAndCheck().
  std::size_t countRuns(std::uint32_t Host, Instant From) const;

  /// Returns the number of calls sent between two times whose outcome is not
  /// Ran.
  std::size_t countFailed(Instant From, Instant To) const;

  /// Returns the number of calls sent in the last part of the load whose
  /// outcome is not Ran.
  std::size_t countRecentlyFailed(std::chrono::milliseconds Span) const;

  MonotonicClock Time_;
  Site Site_;
  std::unique_ptr<LoadGenerator> Load_;
  /// The calls and executions; set by finishAndCheck().
  History Events_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_SITE_FIXTURE_H

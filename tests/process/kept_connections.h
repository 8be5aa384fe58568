#ifndef LAGOONHITCH_TESTS_PROCESS_KEPT_CONNECTIONS_H
#define LAGOONHITCH_TESTS_PROCESS_KEPT_CONNECTIONS_H

/// \file
/// Callers that keep their connections for a long time between two requests.

#include "core/clock.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lagoonhitch {

class KeptConnection;

/// The longest idle time after which a caller sends over a connection, in
/// percent of the daemons' idle timeout.
inline constexpr int MaxIdlePercent = 80;

/// Options of KeptConnections.
struct KeptConnectionsOptions {
  /// `ip:port` of the daemons.
  std::vector<std::string> Addresses_;
  /// Number of connections to each daemon.
  std::uint32_t PerAddress_ = 3;
  /// Number of the first call; also seeds the idle times.
  std::uint64_t FirstCall_ = 1;
};

/// Callers with one connection each, on their own thread. Between two requests,
/// a connection is idle for up to four fifths of the daemons' idle timeout. If
/// the daemon has closed it then, the caller connects again and sends nothing
/// over the old one.
class KeptConnections {
public:
  /// A request that was sent as a whole and got no complete response.
  struct Lost {
    /// `ip:port` of the daemon.
    std::string Address_;
    std::string Call_;
    Instant SentAt_;
    /// When the connection ended, or when the caller gave up.
    Instant EndedAt_;
    /// How long the connection had been idle before.
    Duration Idle_{};
    /// What ended the wait for the response.
    std::string Cause_;
    /// Whether the connection ended within a response.
    bool PartOfResponse_ = false;
  };

  KeptConnections(const Clock &Time, const KeptConnectionsOptions &Options);
  ~KeptConnections();
  KeptConnections(const KeptConnections &) = delete;
  KeptConnections &operator=(const KeptConnections &) = delete;

  /// Sets the idle timeout that the daemons apply. Can be called from any
  /// thread.
  void setIdleTimeout(std::chrono::milliseconds Timeout) {
    IdleTimeout_ = Timeout;
  }

  /// Waits for the responses to the requests in flight and ends the thread.
  void finish();

  /// Returns the requests without a complete response; after finish() only.
  std::vector<Lost> lost() const;

  /// Returns the number of complete responses; after finish() only.
  std::size_t responses() const;

  /// Returns how often a daemon closed a connection while it was idle; after
  /// finish() only.
  std::size_t closedWhileIdle() const;

private:
  struct Impl;

  std::atomic<std::chrono::milliseconds> IdleTimeout_;
  std::unique_ptr<Impl> Impl_;
  std::thread Thread_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_TESTS_PROCESS_KEPT_CONNECTIONS_H

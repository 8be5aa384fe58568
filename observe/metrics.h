#ifndef LAGOONHITCH_OBSERVE_METRICS_H
#define LAGOONHITCH_OBSERVE_METRICS_H

/// \file
/// The daemon's Prometheus metrics.

#include "core/clock.h"
#include "core/outcome.h"

#include <memory>
#include <string>

namespace lagoonhitch {

/// The daemon's Prometheus metrics. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Counts a response to a caller and records its latency.
  void countResponse(const std::string &Service, Outcome Result,
                     Duration Latency);

  /// Counts a log event.
  /// \param Name the event's name, such as `lease-lapsed`.
  void countEvent(const char *Name);

  /// Sets the load of the local upstream.
  /// \param Limit the maximum number of concurrent requests.
  /// \param InFlight the current number of requests.
  void setUpstreamLoad(const std::string &Service, double Limit,
                       double InFlight);

  /// Sets the request rate limit of the local upstream and what it got.
  /// \param Limit requests per second that the upstream states as its limit;
  /// zero for none.
  /// \param Sent the number of requests sent to it since the daemon's start.
  void setUpstreamRate(const std::string &Service, double Limit, double Sent);

  /// Records how late the serving loop ran a timer.
  void observeLoopLag(Duration Lag);

  /// Sets the number of shards that the daemon owns.
  void setOwnedShards(std::size_t Count);

  /// Sets the number of hot keys of this host.
  void setHotKeys(std::size_t Count);

  /// Counts a request that was rejected at this entry daemon because its key
  /// has more requests than the owner can run.
  void countHotKeyRejection(const std::string &Service);

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OBSERVE_METRICS_H

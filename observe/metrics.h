#ifndef LAGOONHITCH_OBSERVE_METRICS_H
#define LAGOONHITCH_OBSERVE_METRICS_H

/// \file
/// The daemon's metrics for Prometheus.

#include "core/clock.h"
#include "core/outcome.h"

#include <memory>
#include <string>

namespace lagoonhitch {

/// The daemon's metrics. Thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Counts an answer to a caller and the time that it took.
  void countResponse(const std::string &Service, Outcome Result,
                     Duration Latency);

  /// Counts a log event, such as a lapse or a take-over.
  void countEvent(const char *Name);

  /// Sets the upstream's limit and load.
  void setUpstreamLoad(const std::string &Service, double Limit,
                       double InFlight);

  /// Sets the number of shards that this daemon owns.
  void setOwnedShards(std::size_t Count);

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OBSERVE_METRICS_H

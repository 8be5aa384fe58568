#ifndef LAGOONHITCH_OBSERVE_METRICS_H
#define LAGOONHITCH_OBSERVE_METRICS_H

/// \file
/// The daemon's Prometheus metrics.

#include "core/clock.h"
#include "core/outcome.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace lagoonhitch {

/// The speed and the work of an upstream, and the errors of its estimates.
struct UpstreamWorkMetrics {
  /// Factors by which work takes longer than usual; zero if unknown.
  double MeanSlowdown_ = 0;
  double CurrentSlowdown_ = 0;
  /// What running and waiting requests still need, in seconds at usual speed.
  double RemainingSeconds_ = 0;
  /// Runs whose work was compared with its estimate.
  double EstimatedRuns_ = 0;
  /// Sums over them: actual by estimated work, and the absolute value of its
  /// natural logarithm.
  double EstimateRatioSum_ = 0;
  double EstimateLogErrorSum_ = 0;
};

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

  /// Counts the end of a call of a request that runs at the local upstream.
  /// \param Service the service that is called.
  void countCall(const std::string &Service, Outcome Result);

  /// Counts a request that was rejected without being sent because all
  /// upstreams of its service are full.
  void countRejectedAtOnce(const std::string &Service);

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

  /// Sets the share of the local upstream's recent requests that failed by its
  /// own fault, in percent.
  void setUpstreamFailures(const std::string &Service, double Percent);

  /// Sets how many upstreams of a service this daemon avoids because they fail
  /// more often than the others.
  void setAvoidedUpstreams(const std::string &Service, double Count);

  /// Sets the speed and the work of the local upstream.
  void setUpstreamWork(const std::string &Service,
                       const UpstreamWorkMetrics &Work);

  /// Records how late the serving loop ran a timer.
  void observeLoopLag(Duration Lag);

  /// Sets the number of shards that the daemon owns.
  void setOwnedShards(std::size_t Count);

  /// Sets the size of the request bodies and responses that servers hold.
  void setHeldBytes(std::size_t Bytes);

  /// Counts requests that servers rejected before they handled them, and
  /// connections that they closed.
  /// \param Reason such as `no_memory`.
  void countRejections(const char *Reason, std::uint64_t Count);

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OBSERVE_METRICS_H

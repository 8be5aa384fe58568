#include "observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace lagoonhitch {

namespace {

/// Upper bounds of the latency histogram's buckets, in seconds.
const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.0005, 0.001, 0.002, 0.004, 0.009, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5};

} // namespace

struct Metrics::Impl {
  prometheus::Registry Registry_;
  prometheus::Family<prometheus::Counter> &Answers_ =
      prometheus::BuildCounter()
          .Name("lagoonhitch_answers_total")
          .Help("Answers to callers by service and outcome")
          .Register(Registry_);
  prometheus::Family<prometheus::Histogram> &Latency_ =
      prometheus::BuildHistogram()
          .Name("lagoonhitch_answer_seconds")
          .Help("Time from a request to its answer")
          .Register(Registry_);
  prometheus::Family<prometheus::Counter> &Calls_ =
      prometheus::BuildCounter()
          .Name("lagoonhitch_calls_total")
          .Help("Calls of requests that run at the local upstream, by called "
                "service and outcome")
          .Register(Registry_);
  prometheus::Family<prometheus::Counter> &RejectedAtOnce_ =
      prometheus::BuildCounter()
          .Name("lagoonhitch_rejected_at_once_total")
          .Help("Requests rejected because all upstreams report to be full")
          .Register(Registry_);
  prometheus::Family<prometheus::Counter> &Events_ =
      prometheus::BuildCounter()
          .Name("lagoonhitch_events_total")
          .Help("Log events by name")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &UpstreamLimit_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_upstream_limit")
          .Help("Requests that the upstream gets at a time")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &UpstreamInFlight_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_upstream_in_flight")
          .Help("Requests that the upstream has now")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &UpstreamRateLimit_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_upstream_rate_limit")
          .Help("Requests per second that the upstream states as its limit, 0 "
                "for none")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &UpstreamSent_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_upstream_requests_sent")
          .Help("Requests sent to the upstream since the daemon's start")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &UpstreamFailures_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_upstream_failure_percent")
          .Help("Recent requests to the upstream that failed by its own fault")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &AvoidedUpstreams_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_avoided_upstreams")
          .Help("Upstreams that get only probes because they fail more often "
                "than the others of their service")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &UpstreamSlowdown_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_upstream_slowdown")
          .Help("Time that work takes on the upstream, by the usual time; 0 if "
                "unknown")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &UpstreamRemainingWork_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_upstream_remaining_work_seconds")
          .Help("Work left in running and waiting requests, at usual speed")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &EstimatedRuns_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_work_estimates")
          .Help("Runs whose work was compared with its estimate")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &EstimateRatioSum_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_work_estimate_ratio_sum")
          .Help("Sum of actual by estimated work of these runs")
          .Register(Registry_);
  prometheus::Family<prometheus::Gauge> &EstimateLogErrorSum_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_work_estimate_log_error_sum")
          .Help("Sum of the absolute logarithms of these ratios")
          .Register(Registry_);
  prometheus::Histogram &LoopLag_ =
      prometheus::BuildHistogram()
          .Name("lagoonhitch_loop_lag_seconds")
          .Help("How late the serving loop runs its timers")
          .Register(Registry_)
          .Add({}, LatencyBuckets);
  prometheus::Gauge &HeldBytes_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_held_bytes")
          .Help("Request bodies and responses that servers hold, in bytes")
          .Register(Registry_)
          .Add({});
  prometheus::Family<prometheus::Counter> &Rejections_ =
      prometheus::BuildCounter()
          .Name("lagoonhitch_server_rejections_total")
          .Help("Requests rejected before they were handled, and connections "
                "closed, by reason")
          .Register(Registry_);
  prometheus::Gauge &OwnedShards_ = prometheus::BuildGauge()
                                        .Name("lagoonhitch_owned_shards")
                                        .Help("Shards that this daemon owns")
                                        .Register(Registry_)
                                        .Add({});
};

Metrics::Metrics() : Impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::countResponse(const std::string &Service, Outcome Result,
                            Duration Latency) {
  Impl_->Answers_.Add({{"service", Service}, {"outcome", outcomeName(Result)}})
      .Increment();
  Impl_->Latency_.Add({{"service", Service}}, LatencyBuckets)
      .Observe(std::chrono::duration<double>(Latency).count());
}

void Metrics::countCall(const std::string &Service, Outcome Result) {
  Impl_->Calls_.Add({{"service", Service}, {"outcome", outcomeName(Result)}})
      .Increment();
}

void Metrics::countRejectedAtOnce(const std::string &Service) {
  Impl_->RejectedAtOnce_.Add({{"service", Service}}).Increment();
}

void Metrics::setHeldBytes(std::size_t Bytes) {
  Impl_->HeldBytes_.Set(static_cast<double>(Bytes));
}

void Metrics::countRejections(const char *Reason, std::uint64_t Count) {
  Impl_->Rejections_.Add({{"reason", Reason}})
      .Increment(static_cast<double>(Count));
}

void Metrics::countEvent(const char *Name) {
  Impl_->Events_.Add({{"name", Name}}).Increment();
}

void Metrics::setUpstreamLoad(const std::string &Service, double Limit,
                              double InFlight) {
  Impl_->UpstreamLimit_.Add({{"service", Service}}).Set(Limit);
  Impl_->UpstreamInFlight_.Add({{"service", Service}}).Set(InFlight);
}

void Metrics::setUpstreamRate(const std::string &Service, double Limit,
                              double Sent) {
  Impl_->UpstreamRateLimit_.Add({{"service", Service}}).Set(Limit);
  Impl_->UpstreamSent_.Add({{"service", Service}}).Set(Sent);
}

void Metrics::setUpstreamFailures(const std::string &Service, double Percent) {
  Impl_->UpstreamFailures_.Add({{"service", Service}}).Set(Percent);
}

void Metrics::setAvoidedUpstreams(const std::string &Service, double Count) {
  Impl_->AvoidedUpstreams_.Add({{"service", Service}}).Set(Count);
}

void Metrics::setUpstreamWork(const std::string &Service,
                              const UpstreamWorkMetrics &Work) {
  Impl_->UpstreamSlowdown_.Add({{"service", Service}, {"kind", "mean"}})
      .Set(Work.MeanSlowdown_);
  Impl_->UpstreamSlowdown_.Add({{"service", Service}, {"kind", "current"}})
      .Set(Work.CurrentSlowdown_);
  Impl_->UpstreamRemainingWork_.Add({{"service", Service}})
      .Set(Work.RemainingSeconds_);
  Impl_->EstimatedRuns_.Add({{"service", Service}}).Set(Work.EstimatedRuns_);
  Impl_->EstimateRatioSum_.Add({{"service", Service}})
      .Set(Work.EstimateRatioSum_);
  Impl_->EstimateLogErrorSum_.Add({{"service", Service}})
      .Set(Work.EstimateLogErrorSum_);
}

void Metrics::observeLoopLag(Duration Lag) {
  Impl_->LoopLag_.Observe(std::chrono::duration<double>(Lag).count());
}

void Metrics::setOwnedShards(std::size_t Count) {
  Impl_->OwnedShards_.Set(static_cast<double>(Count));
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Impl_->Registry_.Collect());
}

} // namespace lagoonhitch

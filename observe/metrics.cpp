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
  prometheus::Histogram &LoopLag_ =
      prometheus::BuildHistogram()
          .Name("lagoonhitch_loop_lag_seconds")
          .Help("How late the serving loop runs its timers")
          .Register(Registry_)
          .Add({}, LatencyBuckets);
  prometheus::Gauge &OwnedShards_ = prometheus::BuildGauge()
                                        .Name("lagoonhitch_owned_shards")
                                        .Help("Shards that this daemon owns")
                                        .Register(Registry_)
                                        .Add({});
  prometheus::Gauge &HotKeys_ =
      prometheus::BuildGauge()
          .Name("lagoonhitch_hot_keys")
          .Help("Owned keys with more requests than the upstream can run")
          .Register(Registry_)
          .Add({});
  prometheus::Family<prometheus::Counter> &HotKeyRejections_ =
      prometheus::BuildCounter()
          .Name("lagoonhitch_hot_key_rejections_total")
          .Help("Requests for hot keys that were not sent to the owner")
          .Register(Registry_);
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

void Metrics::observeLoopLag(Duration Lag) {
  Impl_->LoopLag_.Observe(std::chrono::duration<double>(Lag).count());
}

void Metrics::setOwnedShards(std::size_t Count) {
  Impl_->OwnedShards_.Set(static_cast<double>(Count));
}

void Metrics::setHotKeys(std::size_t Count) {
  Impl_->HotKeys_.Set(static_cast<double>(Count));
}

void Metrics::countHotKeyRejection(const std::string &Service) {
  Impl_->HotKeyRejections_.Add({{"service", Service}}).Increment();
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Impl_->Registry_.Collect());
}

} // namespace lagoonhitch

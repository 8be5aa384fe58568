#include "daemon/shared_host_selector.h"

#include "daemon/entry_request.h"
#include "daemon/request_end.h"
#include "daemon/upstream_gateway.h"
#include "observe/metrics.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lagoonhitch {

namespace {

/// How long a host is not selected after its gateway rejected a request as
/// unavailable.
constexpr std::chrono::milliseconds AvoidUnavailableFor{250};

std::string describeChange(const HealthChange &Change) {
  constexpr double Hundred = 100;
  return absl::StrCat(
      Change.Host_, " ", Change.Upstream_,
      Change.Avoided_ ? " is avoided" : " is not avoided any more", ": ",
      std::lround(Change.FailureShare_ * Hundred),
      " % of its recent requests failed, the median of its service is ",
      std::lround(Change.MedianShare_ * Hundred), " %");
}

} // namespace

SharedHostSelector::SharedHostSelector(SiteState &Site,
                                       const UpstreamGateway &Gateway,
                                       Metrics &DaemonMetrics, std::string Host,
                                       std::string Zone, EventCallback LogEvent)
    : Site_(Site), Gateway_(Gateway), DaemonMetrics_(DaemonMetrics),
      Host_(std::move(Host)), Zone_(std::move(Zone)),
      LogEvent_(std::move(LogEvent)) {}

std::optional<std::string>
SharedHostSelector::select(const EntryRequest &Request,
                           const std::set<std::string> &Tried,
                           std::uint64_t Random, Instant Now) {
  // The local gateway's load is more recent than any digest.
  if (FleetMember *Own = findMember(Site_.Fleet_, Host_))
    applyLoadReport(*Own, Gateway_.load(), Now);
  ServiceHealth &Health = Health_[Request.GatewayRequest_.Service_];
  assess(Request, Health, Random, Now);
  HostChoice Choice;
  Choice.Service_ = Request.GatewayRequest_.Service_;
  Choice.OwnHost_ = Host_;
  Choice.OwnZone_ = Zone_;
  Choice.Tried_ = Tried;
  Choice.Request_ = {classWork(Request.GatewayRequest_.Class_),
                     Request.GatewayRequest_.Rank_};
  Choice.Objective_ = Request.GatewayRequest_.Objective_;
  Choice.Health_ = &Health;
  // A request that has failed or was rejected elsewhere is not risked again.
  if (Request.Attempt_ == 0)
    Choice.Probe_ = takeProbe(Health, Request.GatewayRequest_.Idempotent_,
                              Site_.Fleet_.Members_.size(), HealthOptions_, Now)
                        .value_or(std::string());
  return chooseHost(Site_.Fleet_, Choice, ChoiceOptions_, Random, Now);
}

/// Returns the work of the requests of a class, as time at usual speed; zero if
/// unknown.
Duration SharedHostSelector::classWork(std::uint32_t Class) const {
  return findClassWork(Works_, Class) == nullptr
             ? Duration::zero()
             : expectedWork(Works_, Class, Works_.All_.Mean_);
}

void SharedHostSelector::assess(const EntryRequest &Request,
                                ServiceHealth &Health, std::uint64_t Random,
                                Instant Now) {
  const std::string &Service = Request.GatewayRequest_.Service_;
  const std::vector<HealthChange> Changes = assessUpstreams(
      Health, Site_.Fleet_, Service, HealthOptions_, Random, Now);
  if (Changes.empty())
    return;
  for (const HealthChange &Change : Changes)
    LogEvent_(EventId::UpstreamAvoided, Request.Routed_.CallerRequestId_,
              describeChange(Change));
  DaemonMetrics_.setAvoidedUpstreams(
      Service, static_cast<double>(avoidedUpstreams(Health)));
}

void SharedHostSelector::onResult(const EntryRequest &Request,
                                  const GatewayResult &Result, Instant Now) {
  if (Result.RunWorkMillis_)
    addWorkSample(Works_, Request.GatewayRequest_.Class_,
                  std::chrono::milliseconds(*Result.RunWorkMillis_), Now);
  FleetMember *Member = findMember(Site_.Fleet_, Request.Host_);
  if (Member == nullptr)
    return;
  if (Result.RejectReason_ == RejectReason::Unavailable)
    Member->AvoidUntil_ =
        std::max(Member->AvoidUntil_, Now + AvoidUnavailableFor);
  if (Result.Load_)
    applyLoadReport(*Member, *Result.Load_, Now);
  if (!Request.GatewayRequest_.Key_)
    countOwnRequest(Request, Result, Now);
}

void SharedHostSelector::countOwnRequest(const EntryRequest &Request,
                                         const GatewayResult &Result,
                                         Instant Now) {
  if (Result.Outcome_ != Outcome::Ran)
    return;
  const std::optional<bool> Failed =
      isOwnFailure(requestEnd(HttpCallStatus::Completed, Result,
                              Request.GatewayRequest_.Deadline_ - Now));
  if (!Failed)
    return;
  addOwnRequestEnd(
      Health_[Request.GatewayRequest_.Service_], Request.Host_, *Failed,
      Request.Host_ == Host_ ? std::optional<LoadReport>(Gateway_.load())
                             : Result.Load_,
      HealthOptions_, Now);
}

} // namespace lagoonhitch

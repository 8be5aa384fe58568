#include "daemon/upstream_manager.h"

#include "daemon/crash_record.h"
#include "daemon/ownership_manager.h"
#include "daemon/site_watcher.h"
#include "daemon/upstream_gateway.h"
#include "daemon/upstream_notice.h"
#include "net/http_client.h"
#include "platform/platform_codec.h"
#include "store/store.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace lagoonhitch {

namespace {

/// Time without a heartbeat after which the upstream's health is checked.
constexpr std::chrono::milliseconds HeartbeatTimeout{2300};
constexpr std::chrono::milliseconds HealthCheckTimeout{800};
constexpr std::chrono::milliseconds HealthCheckInterval{1100};
constexpr std::chrono::milliseconds MemberRetryDelay{400};

HttpResponse jsonResponse(unsigned Status, const std::string &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = Body;
  return Response;
}

/// Returns `id/start` of an incarnation.
std::string nameOf(const UpstreamIncarnation &Incarnation) {
  const UpstreamHeartbeat &Heartbeat = Incarnation.LastHeartbeat_;
  return absl::StrCat(Heartbeat.Upstream_, "/", Heartbeat.StartMillis_);
}

HttpResponse errorResponse(unsigned Status, const std::string &Message) {
  return jsonResponse(Status, "{\"error\":\"" + Message + "\"}");
}

} // namespace

UpstreamManager::UpstreamManager(const Clock &Time, Store &MemberStore,
                                 HttpClient &UpstreamClient, SiteState &Site,
                                 UpstreamGateway &Gateway,
                                 OwnershipManager &Ownership, HeaderNames Names,
                                 UpstreamManagerConfig Config,
                                 EventCallback LogEvent,
                                 PushCallback PushRecord)
    : Time_(Time), MemberStore_(MemberStore), UpstreamClient_(UpstreamClient),
      Site_(Site), Gateway_(Gateway), Ownership_(Ownership),
      Names_(std::move(Names)), Config_(std::move(Config)),
      LogEvent_(std::move(LogEvent)), PushRecord_(std::move(PushRecord)),
      Responder_(Time, Ownership) {}

const ServiceSpec *UpstreamManager::serviceSpec() const {
  if (Site_.Manifest_ == nullptr)
    return nullptr;
  return findService(*Site_.Manifest_, Config_.Service_);
}

bool UpstreamManager::isEvacuated() const {
  return Site_.Fleet_.EvacuatedZones_.contains(Config_.Zone_);
}

void UpstreamManager::handle(const HttpRequest &Request,
                             const std::shared_ptr<HttpExchange> &Exchange) {
  const std::optional<std::string> Upstream = upstreamFromPath(Request.Target_);
  if (!Upstream) {
    Exchange->respond(errorResponse(404, "no such path"));
    return;
  }
  if (Request.Method_ == "DELETE") {
    handleDeregistration(*Upstream);
    Exchange->respond(jsonResponse(200, "{}"));
    return;
  }
  const std::optional<UpstreamHeartbeat> Heartbeat =
      Request.Method_ == "PUT" ? decodeHeartbeat(*Upstream, Request.Body_)
                               : std::nullopt;
  if (!Heartbeat) {
    Exchange->respond(errorResponse(400, "the heartbeat can't be read"));
    return;
  }
  handleHeartbeat(*Heartbeat, Exchange);
}

/// An acknowledged deregistration is binding, even if no heartbeat of the
/// upstream has been received yet. It is kept for later heartbeats.
void UpstreamManager::handleDeregistration(const std::string &Upstream) {
  if (!applyDeregistration(Incarnation_, Upstream)) {
    EarlyDeregistration_ = EarlyDeregistration{
        Upstream, std::chrono::duration_cast<std::chrono::milliseconds>(
                      Time_.wallNow().time_since_epoch())};
    return;
  }
  LogEvent_(EventId::UpstreamDraining, Upstream);
  onStateChanged();
}

void UpstreamManager::handleHeartbeat(
    const UpstreamHeartbeat &Heartbeat,
    const std::shared_ptr<HttpExchange> &Exchange) {
  const bool WasDraining = Incarnation_ && Incarnation_->Draining_;
  const bool WasLost = isLost(Incarnation_);
  const HeartbeatResult Result =
      applyHeartbeat(Incarnation_, Heartbeat, Config_.Service_,
                     Config_.UpstreamAddress_, Time_.now());
  if (Result == HeartbeatResult::Mismatched) {
    Exchange->respond(
        errorResponse(400, "the heartbeat is of another service or address"));
    return;
  }
  if (Result == HeartbeatResult::Accepted) {
    UpstreamClient_.closeEnded(Config_.UpstreamAddress_);
    LostBeforeHeartbeat_ =
        UpstreamClient_.lostConnections(Config_.UpstreamAddress_);
    if (wasDeregistered(EarlyDeregistration_, Heartbeat))
      applyDeregistration(Incarnation_, Heartbeat.Upstream_);
    if (!WasDraining && Incarnation_->Draining_)
      LogEvent_(EventId::UpstreamDraining, Heartbeat.Upstream_);
    applyColdStart(Heartbeat.ColdRemaining_);
    logReturn(WasLost);
    onStateChanged();
    applyRecordedDrain();
    if (Heartbeat.Keys_)
      Ownership_.onHoldReport(*Heartbeat.Keys_);
    Responder_.respondTo(Exchange, !Heartbeat.Draining_ && !HandingOver_);
    return;
  }
  // An earlier heartbeat that arrives late must not change the keys.
  Exchange->respond(jsonResponse(200, "{}"));
}

/// Logs that the current incarnation, which counted as lost, still runs.
void UpstreamManager::logReturn(bool WasLost) {
  const std::string Name = nameOf(*Incarnation_);
  if (WasLost && Name == AdmittedIncarnation_)
    LogEvent_(EventId::UpstreamAnnounced, Name + ", counted as lost before");
}

void UpstreamManager::onConnectionRefused() {
  if (!Incarnation_ || Incarnation_->RefusedConnection_)
    return;
  Incarnation_->RefusedConnection_ = true;
  LogEvent_(EventId::UpstreamLost,
            AdmittedIncarnation_ + ", connection refused");
  recordCrash();
  onStateChanged();
  checkTermination();
}

/// Marks an upstream that refuses connections as terminated if all connections
/// to it have ended, and it has ended one of them itself since its last
/// heartbeat. Without that, this daemon may only have had none: it was
/// restarted, or has closed them itself.
void UpstreamManager::checkTermination() {
  if (!Incarnation_ || !Incarnation_->RefusedConnection_ ||
      Incarnation_->Terminated_)
    return;
  const std::string &Address = Config_.UpstreamAddress_;
  UpstreamClient_.closeEnded(Address);
  if (UpstreamClient_.openConnections(Address) > 0 ||
      UpstreamClient_.lostConnections(Address) == LostBeforeHeartbeat_)
    return;
  Incarnation_->Terminated_ = true;
  updateAdmission();
}

void UpstreamManager::onRunsLost() {
  if (Incarnation_ && Incarnation_->RefusedConnection_)
    recordCrash();
}

/// Records that the admitted incarnation has crashed, with the requests that it
/// may have been running. Those that this upstream has answered before are not
/// the cause and are left out.
void UpstreamManager::recordCrash() {
  UpstreamCrash Crash;
  Crash.Upstream_ = AdmittedUpstream_;
  Crash.StartMillis_ = AdmittedStartMillis_;
  Crash.At_ = std::chrono::duration_cast<std::chrono::milliseconds>(
      Time_.wallNow().time_since_epoch());
  for (const LostRun &Run : Gateway_.takeLostRuns()) {
    LogEvent_(EventId::RequestLostInCrash, describeLostRun(Run));
    if (!Run.AnsweredBefore_)
      Crash.Requests_.push_back(Run.Request_);
  }
  if (Crash.Requests_.empty())
    return;
  mergeCrash(Site_.OwnCrashes_, Crash);
  lagoonhitch::recordCrash(Site_, Crash, Time_, LogEvent_);
  PushRecord_(CrashesTopic, {Config_.Host_, encodeMember(memberRecord()), 0});
}

std::string UpstreamManager::describeLostRun(const LostRun &Run) const {
  return absl::StrCat(AdmittedIncarnation_, ", request ", Run.RequestId_,
                      ", fingerprint ", toString(Run.Request_), ", ",
                      Run.Summary_, ", ran ",
                      toMillis(Run.LostAt_ - Run.SentAt_).count(), " ms",
                      Run.AnsweredBefore_ ? ", answered before" : "");
}

void UpstreamManager::onLeavingStated() {
  if (!Incarnation_ || Incarnation_->Draining_)
    return;
  Incarnation_->Draining_ = true;
  LogEvent_(EventId::UpstreamLeaving, AdmittedIncarnation_);
  onStateChanged();
}

void UpstreamManager::applyColdStart(std::chrono::milliseconds ColdFor) {
  const ServiceSpec *Spec = serviceSpec();
  if (Spec != nullptr)
    Gateway_.setCold(ColdFor, Spec->ColdRate_);
}

void UpstreamManager::onStateChanged() {
  const std::string Name = nameOf(*Incarnation_);
  if (Name != AdmittedIncarnation_) {
    recordCrash();
    LogEvent_(EventId::UpstreamAnnounced, Name);
    Gateway_.resetForIncarnation(Incarnation_->LastHeartbeat_.Upstream_,
                                 Incarnation_->LastHeartbeat_.Slots_);
    applyColdStart(Incarnation_->LastHeartbeat_.ColdRemaining_);
    AdmittedIncarnation_ = Name;
    AdmittedUpstream_ = Incarnation_->LastHeartbeat_.Upstream_;
    AdmittedStartMillis_ = Incarnation_->LastHeartbeat_.StartMillis_;
  }
  checkHealth();
  updateAdmission();
  publishMember();
}

void UpstreamManager::onStoreRestored() {
  PublishedRecord_ = MemberRecord();
  publishMember();
}

void UpstreamManager::onSiteChanged() { updateAdmission(); }

void UpstreamManager::startHandover() {
  HandingOver_ = true;
  updateAdmission();
}

void UpstreamManager::stopAdmitting() {
  AdmissionStopped_ = true;
  updateAdmission();
}

void UpstreamManager::updateAdmission() {
  const bool Evacuated = isEvacuated();
  if (WasEvacuated_ && !Evacuated) {
    AwaitsHealthCheck_ = true;
    sendHealthCheck();
  }
  WasEvacuated_ = Evacuated;
  Gateway_.setAccepting(acceptsRequests(Incarnation_) && !Evacuated &&
                        !AwaitsHealthCheck_ && !AdmissionStopped_);
  LocalUpstream Known = localUpstream(Incarnation_);
  const bool Draining = Evacuated || HandingOver_;
  if (Draining && Known.State_ == LocalUpstream::State::Serving)
    Known.State_ = LocalUpstream::State::Draining;
  Ownership_.onUpstreamChanged(Known);
}

/// Marks the upstream as draining if an earlier process of this daemon has
/// acknowledged that. The upstream may report it only once.
void UpstreamManager::applyRecordedDrain() {
  if (!Incarnation_ || Incarnation_->Draining_ || !Site_.OwnRecord_)
    return;
  const MemberRecord &Recorded = *Site_.OwnRecord_;
  const UpstreamHeartbeat &Heartbeat = Incarnation_->LastHeartbeat_;
  const bool WasDraining = Recorded.State_ == UpstreamState::Draining &&
                           Recorded.Upstream_ == Heartbeat.Upstream_ &&
                           Recorded.StartMillis_ == Heartbeat.StartMillis_;
  if (!WasDraining)
    return;
  Incarnation_->Draining_ = true;
  LogEvent_(EventId::UpstreamDraining, Heartbeat.Upstream_);
  onStateChanged();
}

void UpstreamManager::tick() {
  applyRecordedDrain();
  Responder_.tick();
  checkTermination();
  checkHealth();
  publishMember();
}

void UpstreamManager::checkHealth() {
  if (!Incarnation_ || Incarnation_->RefusedConnection_)
    return;
  const Instant Now = Time_.now();
  const bool HeartbeatMissing =
      Now - Incarnation_->LastHeartbeatAt_ > HeartbeatTimeout;
  const bool RecentlyChecked =
      HealthCheckedAt_ && Now - *HealthCheckedAt_ < HealthCheckInterval;
  if (!RecentlyChecked && ((HeartbeatMissing && !Incarnation_->Unresponsive_) ||
                           AwaitsHealthCheck_))
    sendHealthCheck();
}

void UpstreamManager::sendHealthCheck() {
  const ServiceSpec *Spec = serviceSpec();
  if (HealthCheckInFlight_ || Spec == nullptr || !Incarnation_)
    return;
  HealthCheckedAt_ = Time_.now();
  Gateway_.chargeHealthCheck();
  HttpRequest Probe;
  Probe.Target_ = Spec->HealthPath_;
  HttpCallOptions Call;
  Call.Timeout_ = HealthCheckTimeout;
  Call.EchoHeader_ = Names_.RequestId_;
  UpstreamClient_.send(
      Config_.UpstreamAddress_, std::move(Probe), Call,
      [this, Incarnation = AdmittedIncarnation_](const HttpResult &Result) {
        onHealthResult(Incarnation, Result);
      });
  // Set last, so that it isn't left set if the call fails.
  HealthCheckInFlight_ = true;
}

void UpstreamManager::onHealthResult(const std::string &Incarnation,
                                     const HttpResult &Result) {
  HealthCheckInFlight_ = false;
  if (AdmittedIncarnation_ != Incarnation)
    return;
  if (Result.Status_ != HttpCallStatus::Completed) {
    if (Result.ConnectionRefused_) {
      onConnectionRefused();
      return;
    }
    const Duration Silence = Time_.now() - Incarnation_->LastHeartbeatAt_;
    Incarnation_->Unresponsive_ = Silence > HeartbeatTimeout;
    if (isLost(Incarnation_))
      LogEvent_(EventId::UpstreamLost,
                absl::StrCat(Incarnation, ", health check failed, ",
                             toMillis(Silence).count(),
                             " ms without heartbeat"));
    onStateChanged();
    return;
  }
  Gateway_.onNotice(readUpstreamNotice(Result.Response_, Names_),
                    *HealthCheckedAt_);
  AwaitsHealthCheck_ = false;
  std::int64_t ColdMillis = 0;
  const std::string *Cold =
      findHeader(Result.Response_.Headers_, Names_.ColdMillis_);
  if (Cold != nullptr && absl::SimpleAtoi(*Cold, &ColdMillis))
    applyColdStart(std::chrono::milliseconds(ColdMillis));
  updateAdmission();
}

MemberRecord UpstreamManager::memberRecord() const {
  MemberRecord Record;
  Record.Host_ = Config_.Host_;
  Record.Zone_ = Config_.Zone_;
  Record.Service_ = Config_.Service_;
  Record.PeerAddress_ = Config_.PeerAddress_;
  Record.DigestAddress_ = Config_.DigestAddress_;
  Record.Process_ = Config_.Process_;
  Record.Crashes_ = Site_.OwnCrashes_;
  if (!Incarnation_)
    return Record;
  Record.Upstream_ = Incarnation_->LastHeartbeat_.Upstream_;
  Record.StartMillis_ = Incarnation_->LastHeartbeat_.StartMillis_;
  Record.Slots_ = Incarnation_->LastHeartbeat_.Slots_;
  if (isLost(Incarnation_))
    Record.State_ = UpstreamState::Lost;
  else
    Record.State_ = Incarnation_->Draining_ ? UpstreamState::Draining
                                            : UpstreamState::Ready;
  return Record;
}

void UpstreamManager::publishMember() {
  const Instant Now = Time_.now();
  const MemberRecord Record = memberRecord();
  applyRecord(Site_.Fleet_, Record, Now);
  // The members are read first, so that the crashes that an earlier process has
  // listed stay in the record.
  if (Publishing_ || Record == PublishedRecord_ || Now < NextPublishAt_ ||
      !Incarnation_ || !Site_.MembersRead_)
    return;
  MemberStore_.append(
      MembersTopic, Record.Host_, encodeMember(Record), std::nullopt,
      [this, Record](const AppendReply &Reply) {
        Publishing_ = false;
        if (Reply.Kind_ != AppendReply::Kind::Done) {
          NextPublishAt_ = Time_.now() + MemberRetryDelay;
          return;
        }
        PublishedRecord_ = Record;
        PushRecord_(MembersTopic,
                    {Record.Host_, encodeMember(Record), Reply.Offset_});
      });
  // Set last, so that it isn't left set if the call fails.
  Publishing_ = true;
}

} // namespace lagoonhitch

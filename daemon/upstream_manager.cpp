#include "daemon/upstream_manager.h"

#include "daemon/ownership_manager.h"
#include "daemon/site_watcher.h"
#include "daemon/upstream_gateway.h"
#include "net/http_client.h"
#include "platform/platform_codec.h"
#include "store/store.h"

#include <absl/strings/numbers.h>

#include <utility>

namespace lagoonhitch {

namespace {

/// Silence after which the upstream is asked whether it lives.
constexpr std::chrono::milliseconds HeartbeatPatience{2300};
constexpr std::chrono::milliseconds HealthTimeout{800};
constexpr std::chrono::milliseconds HealthPause{1100};
constexpr std::chrono::milliseconds MemberRetry{400};

HttpResponse answer(unsigned Status, const std::string &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = Body;
  return Response;
}

HttpResponse fault(unsigned Status, const std::string &Why) {
  return answer(Status, "{\"error\":\"" + Why + "\"}");
}

} // namespace

UpstreamKeeper::UpstreamKeeper(const Clock &Time, Store &Members,
                               HttpClient &Upstreams, SiteState &Site,
                               UpstreamGateway &Gateway, KeyKeeper &Keys,
                               HeaderNames Names, UpstreamPlace Place,
                               Report Tell, PassMember Pass)
    : Time_(Time), Members_(Members), Upstreams_(Upstreams), Site_(Site),
      Gateway_(Gateway), Keys_(Keys), Names_(std::move(Names)),
      Place_(std::move(Place)), Tell_(std::move(Tell)), Pass_(std::move(Pass)) {
}

const ServiceSpec *UpstreamKeeper::spec() const {
  if (Site_.Manifest_ == nullptr)
    return nullptr;
  return findService(*Site_.Manifest_, Place_.Service_);
}

bool UpstreamKeeper::isEvacuated() const {
  return Site_.Fleet_.EvacuatedZones_.contains(Place_.Zone_);
}

void UpstreamKeeper::handle(const HttpRequest &Request,
                            HttpExchange &Exchange) {
  const std::optional<std::string> Upstream =
      announcedUpstream(Request.Target_);
  if (!Upstream) {
    Exchange.respond(fault(404, "no such path"));
    return;
  }
  if (Request.Method_ == "DELETE") {
    takeDelete(*Upstream);
    Exchange.respond(answer(200, "{}"));
    return;
  }
  const std::optional<UpstreamHeartbeat> Heard =
      Request.Method_ == "PUT" ? decodeAnnouncement(*Upstream, Request.Body_)
                               : std::nullopt;
  if (!Heard) {
    Exchange.respond(fault(400, "the heartbeat can't be read"));
    return;
  }
  takeBeat(*Heard, Exchange);
}

/// The acknowledgement of a farewell binds, also where no heartbeat of the
/// upstream has come yet.
void UpstreamKeeper::takeDelete(const std::string &Upstream) {
  if (!applyDeregistration(Life_, Upstream)) {
    EarlyFarewell_ = EarlyDeregistration{
        Upstream, std::chrono::duration_cast<std::chrono::milliseconds>(
                      Time_.wallNow().time_since_epoch())};
    return;
  }
  Tell_(EventId::UpstreamDraining, Upstream);
  onLifeChanged();
}

void UpstreamKeeper::takeBeat(const UpstreamHeartbeat &Heard,
                              HttpExchange &Exchange) {
  const bool WasLeaving = Life_ && Life_->Draining_;
  const HeartbeatResult Result = applyHeartbeat(
      Life_, Heard, Place_.Service_, Place_.UpstreamAddress_, Time_.now());
  if (Result == HeartbeatResult::Mismatched) {
    Exchange.respond(
        fault(400, "the heartbeat is of another service or address"));
    return;
  }
  if (Result == HeartbeatResult::Accepted) {
    if (wasDeregistered(EarlyFarewell_, Heard))
      applyDeregistration(Life_, Heard.Upstream_);
    if (!WasLeaving && Life_->Draining_)
      Tell_(EventId::UpstreamDraining, Heard.Upstream_);
    applyCold(Heard.ColdRemaining_);
    onLifeChanged();
  }
  Exchange.respond(answer(200, "{}"));
}

void UpstreamKeeper::onRefused() {
  if (!Life_ || Life_->Terminated_)
    return;
  Life_->Terminated_ = true;
  Tell_(EventId::UpstreamLost, OpenLife_);
  onLifeChanged();
}

void UpstreamKeeper::applyCold(std::chrono::milliseconds For) {
  const ServiceSpec *Spec = spec();
  ColdUnknown_ = Spec == nullptr;
  if (Spec != nullptr)
    Gateway_.setCold(For, Spec->ColdRate_);
}

void UpstreamKeeper::onLifeChanged() {
  const std::string Name = Life_->LastHeartbeat_.Upstream_ + "/" +
                           std::to_string(Life_->LastHeartbeat_.StartMillis_);
  if (Name != OpenLife_) {
    Tell_(EventId::UpstreamAnnounced, Name);
    Gateway_.resetForIncarnation(Life_->LastHeartbeat_.Upstream_,
                                 Life_->LastHeartbeat_.Slots_);
    applyCold(Life_->LastHeartbeat_.ColdRemaining_);
    OpenLife_ = Name;
  }
  updateDoor();
  publishMember();
}

void UpstreamKeeper::onSiteChanged() {
  if (ColdUnknown_ && Life_ && !WasEvacuated_)
    applyCold(Life_->LastHeartbeat_.ColdRemaining_);
  updateDoor();
}

void UpstreamKeeper::handOver() {
  HandsOver_ = true;
  updateDoor();
}

void UpstreamKeeper::closeDoor() {
  Closed_ = true;
  updateDoor();
}

void UpstreamKeeper::updateDoor() {
  const bool Evacuated = isEvacuated();
  if (WasEvacuated_ && !Evacuated) {
    // The upstream may have turned cold meanwhile; its health tells.
    ColdUnknown_ = true;
    askHealth();
  }
  WasEvacuated_ = Evacuated;
  Gateway_.setAccepting(acceptsRequests(Life_) && !Evacuated && !ColdUnknown_ &&
                        !Closed_);
  LocalUpstream Known = localUpstream(Life_);
  const bool Leaves = Evacuated || HandsOver_;
  if (Leaves && Known.State_ == LocalUpstream::State::Serving)
    Known.State_ = LocalUpstream::State::Draining;
  Keys_.onUpstream(Known);
}

void UpstreamKeeper::tick() {
  checkHealth();
  publishMember();
}

void UpstreamKeeper::checkHealth() {
  if (!Life_ || Life_->Terminated_)
    return;
  const Instant Now = Time_.now();
  const bool Quiet = Now - Life_->LastHeartbeatAt_ > HeartbeatPatience;
  const bool Asked = HealthAskedAt_ && Now - *HealthAskedAt_ < HealthPause;
  if (!Asked && ((Quiet && !Life_->Unresponsive_) || ColdUnknown_))
    askHealth();
}

void UpstreamKeeper::askHealth() {
  const ServiceSpec *Spec = spec();
  if (AskingHealth_ || Spec == nullptr || !Life_)
    return;
  AskingHealth_ = true;
  HealthAskedAt_ = Time_.now();
  HttpRequest Question;
  Question.Target_ = Spec->HealthPath_;
  HttpCallOptions Call;
  Call.Timeout_ = HealthTimeout;
  Upstreams_.send(Place_.UpstreamAddress_, std::move(Question), Call,
                  [this, Asked = OpenLife_](const HttpResult &Result) {
                    onHealth(Asked, Result);
                  });
}

void UpstreamKeeper::onHealth(const std::string &Asked,
                              const HttpResult &Result) {
  AskingHealth_ = false;
  if (OpenLife_ != Asked)
    return;
  if (Result.Status_ != HttpStatus::Answered) {
    Life_->Terminated_ = Life_->Terminated_ || Result.Refused_;
    Life_->Unresponsive_ =
        Time_.now() - Life_->LastHeartbeatAt_ > HeartbeatPatience;
    if (Life_->Terminated_ || Life_->Unresponsive_)
      Tell_(EventId::UpstreamLost, Asked);
    onLifeChanged();
    return;
  }
  std::int64_t ColdMillis = 0;
  const std::string *Cold =
      findHeader(Result.Response_.Headers_, Names_.ColdMillis_);
  if (Cold != nullptr && !absl::SimpleAtoi(*Cold, &ColdMillis))
    ColdMillis = 0;
  applyCold(std::chrono::milliseconds(ColdMillis));
  updateDoor();
}

MemberRecord UpstreamKeeper::ownRecord() const {
  MemberRecord Record;
  Record.Host_ = Place_.Host_;
  Record.Zone_ = Place_.Zone_;
  Record.Service_ = Place_.Service_;
  Record.PeerAddress_ = Place_.PeerAddress_;
  Record.DigestAddress_ = Place_.DigestAddress_;
  Record.Process_ = Place_.Process_;
  if (!Life_)
    return Record;
  Record.Upstream_ = Life_->LastHeartbeat_.Upstream_;
  Record.StartMillis_ = Life_->LastHeartbeat_.StartMillis_;
  Record.Slots_ = Life_->LastHeartbeat_.Slots_;
  if (Life_->Terminated_ || Life_->Unresponsive_)
    Record.State_ = UpstreamState::Lost;
  else
    Record.State_ =
        Life_->Draining_ ? UpstreamState::Draining : UpstreamState::Ready;
  return Record;
}

void UpstreamKeeper::publishMember() {
  const Instant Now = Time_.now();
  const MemberRecord Record = ownRecord();
  applyRecord(Site_.Fleet_, Record, Now);
  if (Publishing_ || Record == Published_ || Now < PublishAt_ || !Life_)
    return;
  Publishing_ = true;
  Members_.append(MembersTopic, Record.Host_, encodeMember(Record),
                  std::nullopt, [this, Record](const AppendReply &Reply) {
                    Publishing_ = false;
                    if (Reply.Kind_ != AppendReply::Kind::Done) {
                      PublishAt_ = Time_.now() + MemberRetry;
                      return;
                    }
                    Published_ = Record;
                    Pass_({Record.Host_, encodeMember(Record), Reply.Offset_});
                  });
}

} // namespace lagoonhitch

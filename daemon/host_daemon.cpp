#include "daemon/host_daemon.h"

#include "daemon/forward_codec.h"
#include "daemon/key_keeper.h"
#include "daemon/request_router.h"
#include "daemon/site_state.h"
#include "daemon/topic_follower.h"
#include "daemon/upstream_door.h"
#include "membership/upstream_life.h"
#include "net/datagram_link.h"
#include "net/digest_codec.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "platform/platform_codec.h"
#include "platform/platform_headers.h"
#include "platform/store_client.h"
#include "settings/settings_error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds TickEvery{50};
constexpr std::chrono::milliseconds DigestEvery{250};
/// Digests a second that one daemon sends at most.
constexpr double MaxDigestsPerSecond = 60;
/// Silence after which the upstream is asked whether it lives.
constexpr std::chrono::milliseconds HeartbeatPatience{2300};
constexpr std::chrono::milliseconds HealthTimeout{800};
/// Time from SIGTERM until callers have learnt to go elsewhere.
constexpr std::chrono::milliseconds LeaveWait{2300};
/// Time that is left for the end of a stop.
constexpr std::chrono::milliseconds StopMargin{500};
constexpr std::chrono::milliseconds MemberRetry{400};
/// How long a leaving upstream may still get requests, of the bound.
constexpr double DrainPart = 0.3;
constexpr std::chrono::milliseconds FreshPeer{1500};

constexpr const char *MembersTopic = "keyed.members";

HttpClientOptions peerOptions() {
  HttpClientOptions Options;
  Options.IdleLimit_ = std::chrono::seconds(8);
  Options.ConnectTimeout_ = std::chrono::milliseconds(250);
  Options.BodyLimit_ = 64U * 1024U * 1024U;
  return Options;
}

HttpClientOptions upstreamOptions() {
  HttpClientOptions Options = peerOptions();
  Options.IdleLimit_ = std::chrono::milliseconds(4000);
  return Options;
}

HttpClientOptions storeOptions() {
  HttpClientOptions Options;
  Options.IdleLimit_ = std::chrono::seconds(4);
  Options.ConnectTimeout_ = std::chrono::milliseconds(500);
  Options.BodyLimit_ = 16U * 1024U * 1024U;
  return Options;
}

HttpServerOptions listenOn(const std::string &Address) {
  HttpServerOptions Options;
  Options.Address_ = Address;
  return Options;
}

HttpServerOptions listenForPeers(const std::string &Address) {
  HttpServerOptions Options = listenOn(Address);
  // Forwarded requests have a header more than callers may send.
  Options.HeaderLimit_ = 128U * 1024U;
  Options.BodyLimit_ = 64U * 1024U * 1024U;
  return Options;
}

HttpResponse plainResponse(unsigned Status) {
  HttpResponse Response;
  Response.Status_ = Status;
  return Response;
}

HttpResponse jsonResponse(unsigned Status, const nlohmann::json &Body) {
  HttpResponse Response = plainResponse(Status);
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = Body.dump();
  return Response;
}

SharedBudgetOptions budgetOf(const SiteBounds &Bounds) {
  SharedBudgetOptions Options;
  Options.Ratio_ = Bounds.RetryRatio_;
  Options.Slack_ = Bounds.RetrySlack_;
  Options.Window_ = Bounds.RetryWindow_;
  return Options;
}

} // namespace

struct HostDaemon::Parts {
  Parts(const Clock &Time, HostSettings Settings, std::string SettingsFile,
        std::uint64_t Process);

  // Answers.
  void onReady(HttpExchange &Exchange);
  void onAnnounce(const HttpRequest &Request, HttpExchange &Exchange);
  void onPeer(HttpRequest Request,
              const std::shared_ptr<HttpExchange> &Exchange);
  void onForward(HttpRequest Request,
                 const std::shared_ptr<HttpExchange> &Exchange);
  void onFateQuestion(const HttpRequest &Request, HttpExchange &Exchange);
  void onRelay(HttpRequest Request,
               const std::shared_ptr<HttpExchange> &Exchange);
  void onAdmin(const HttpRequest &Request, HttpExchange &Exchange);

  // Records of the store.
  void onOperatorRecords(const std::vector<StoreRecord> &Records, bool Whole);
  void applyManifest(const std::string &Text);
  void onMemberRecords(const std::vector<StoreRecord> &Records);
  void onTableRecords(const std::string &Service,
                      const std::vector<StoreRecord> &Records);
  void followTables();

  // The upstream beside this daemon.
  void onLifeChanged();
  void updateDoor();
  void checkUpstream();
  void askHealth();
  void applyCold(std::chrono::milliseconds For);
  bool isEvacuated() const;
  MemberRecord ownRecord() const;
  void publishMember();

  void tick();
  LoadDigest ownDigest();
  void sendDigests();
  void onDigest(const char *Data, std::size_t Size);
  std::string pickRelay();
  void startStop();
  void tryFinishStop();
  void reloadSettings();
  void tell(EventId Id, const std::string &Subject);

  const Clock &Time_;
  HostSettings Settings_;
  std::string SettingsFile_;
  std::uint64_t Process_;
  HeaderNames Names_ = platformHeaders();
  EventLog Events_;
  Metrics Numbers_;
  IoLoop Loop_;
  SiteState Site_;
  HttpClient Upstreams_;
  HttpClient Peers_;
  HttpClient StoreCalls_;
  HttpClient StoreWaits_;
  StoreClient Store_;
  KeyKeeper Keys_;
  UpstreamDoor Door_;
  RequestRouter Router_;
  TopicFollower Operators_;
  TopicFollower Members_;
  std::map<std::string, std::unique_ptr<TopicFollower>> Tables_;
  DatagramLink Digests_;
  HttpServer Peer_;
  HttpServer Announce_;
  HttpServer Ready_;
  HttpServer Callers_;
  HttpServer Admin_;

  std::optional<UpstreamLife> Life_;
  std::string OpenLife_;
  bool AskingHealth_ = false;
  bool WasEvacuated_ = false;
  bool ColdUnknown_ = false;
  std::optional<Instant> HealthAskedAt_;
  MemberRecord Published_;
  bool Publishing_ = false;
  Instant PublishAt_ = Instant::min();
  std::uint64_t DigestSequence_ = 0;
  Instant DigestAt_ = Instant::min();
  std::shared_ptr<void> Ticker_;
  std::optional<Instant> StoppingSince_;
  bool Drained_ = false;
  std::mt19937_64 Random_;
};

HostDaemon::Parts::Parts(const Clock &Time, HostSettings Settings,
                         std::string SettingsFile, std::uint64_t Process)
    : Time_(Time), Settings_(std::move(Settings)),
      SettingsFile_(std::move(SettingsFile)), Process_(Process),
      Events_(Time, Settings_.Host_),
      Upstreams_(Loop_, Time, upstreamOptions()),
      Peers_(Loop_, Time, peerOptions()),
      StoreCalls_(Loop_, Time, storeOptions()),
      StoreWaits_(Loop_, Time, storeOptions()),
      Store_(StoreCalls_, StoreWaits_, Settings_.StoreAddress_,
             [this] { return pickRelay(); }),
      Keys_(Time, Store_, Upstreams_, Site_,
            {Settings_.Host_, Settings_.Service_, Settings_.UpstreamAddress_,
             Settings_.Bounds_.MaxHold_},
            {[this] { Door_.onKeysChanged(); },
             [this](const KeyTable &Table) {
               Site_.Tables_[Settings_.Service_] = Table;
               Router_.onSiteChanged();
             },
             [this](EventId Id, const std::string &Subject) {
               tell(Id, Subject);
             }}),
      Door_(Loop_, Time, Upstreams_, Names_, Settings_.Service_,
            Settings_.UpstreamAddress_,
            {[this](KeyId Key) { return Keys_.serves(Key); },
             [this](KeyId Key) { return Keys_.owns(Key); },
             [this](KeyId Key) { Keys_.count(Key); }},
            {[this] {
              if (Life_ && !Life_->Ended_) {
                Life_->Ended_ = true;
                onLifeChanged();
              }
            }}),
      Router_(Loop_, Time, Site_, Peers_, Door_, Numbers_, Names_,
              budgetOf(Settings_.Bounds_),
              {Settings_.Host_, Settings_.Zone_, Settings_.Service_, Process},
              [this](EventId Id, const std::string &Request,
                     const std::string &Details) {
                Numbers_.countEvent(eventInfo(Id).Name_);
                Events_.write(Id, {{"request", Request}, {"why", Details}});
              }),
      Operators_(Loop_, Time, Store_, OperatorTopic,
                 [this](const std::vector<StoreRecord> &Records, bool Whole) {
                   onOperatorRecords(Records, Whole);
                 }),
      Members_(Loop_, Time, Store_, MembersTopic,
               [this](const std::vector<StoreRecord> &Records, bool) {
                 onMemberRecords(Records);
               }),
      Digests_(
          Loop_, Settings_.PeersAddress_,
          [this](const char *Data, std::size_t Size) { onDigest(Data, Size); }),
      Peer_(Loop_, listenForPeers(Settings_.PeersAddress_),
            [this](HttpRequest Request,
                   const std::shared_ptr<HttpExchange> &Exchange) {
              onPeer(std::move(Request), Exchange);
            }),
      Announce_(Loop_, listenOn(Settings_.AnnounceAddress_),
                [this](const HttpRequest &Request,
                       const std::shared_ptr<HttpExchange> &Exchange) {
                  onAnnounce(Request, *Exchange);
                }),
      Ready_(Loop_, listenOn(Settings_.ReadyAddress_),
             [this](const HttpRequest &,
                    const std::shared_ptr<HttpExchange> &Exchange) {
               onReady(*Exchange);
             }),
      Callers_(Loop_, listenOn(Settings_.CallersAddress_),
               [this](HttpRequest Request,
                      const std::shared_ptr<HttpExchange> &Exchange) {
                 Router_.handle(std::move(Request), Exchange);
               }),
      Admin_(Loop_, listenOn(Settings_.AdminAddress_),
             [this](const HttpRequest &Request,
                    const std::shared_ptr<HttpExchange> &Exchange) {
               onAdmin(Request, *Exchange);
             }),
      Random_(Process) {
  tell(EventId::DaemonStarted, Settings_.CallersAddress_);
  Operators_.start();
  Members_.start();
  tick();
}

void HostDaemon::Parts::tell(EventId Id, const std::string &Subject) {
  Numbers_.countEvent(eventInfo(Id).Name_);
  Events_.write(Id, {{"subject", Subject}});
}

void HostDaemon::Parts::onReady(HttpExchange &Exchange) {
  const bool Ready = Site_.Manifest_ != nullptr && !StoppingSince_;
  Exchange.respond(plainResponse(Ready ? 200 : 503));
}

void HostDaemon::Parts::onAnnounce(const HttpRequest &Request,
                                   HttpExchange &Exchange) {
  const std::optional<std::string> Upstream =
      announcedUpstream(Request.Target_);
  if (!Upstream) {
    Exchange.respond(jsonResponse(404, {{"error", "no such path"}}));
    return;
  }
  if (Request.Method_ == "DELETE") {
    if (takeFarewell(Life_, *Upstream)) {
      tell(EventId::UpstreamDraining, *Upstream);
      onLifeChanged();
    }
    Exchange.respond(jsonResponse(200, nlohmann::json::object()));
    return;
  }
  const std::optional<Announcement> Heard =
      Request.Method_ == "PUT" ? decodeAnnouncement(*Upstream, Request.Body_)
                               : std::nullopt;
  if (!Heard) {
    Exchange.respond(
        jsonResponse(400, {{"error", "the heartbeat can't be read"}}));
    return;
  }
  const bool WasLeaving = Life_ && Life_->Leaving_;
  const AnnouncementResult Result =
      takeAnnouncement(Life_, *Heard, Settings_.Service_,
                       Settings_.UpstreamAddress_, Time_.now());
  if (Result == AnnouncementResult::Foreign) {
    Exchange.respond(jsonResponse(
        400, {{"error", "the heartbeat is of another service or address"}}));
    return;
  }
  if (Result == AnnouncementResult::Taken) {
    if (!WasLeaving && Life_->Leaving_)
      tell(EventId::UpstreamDraining, *Upstream);
    onLifeChanged();
    applyCold(Heard->ColdFor_);
  }
  Exchange.respond(jsonResponse(200, nlohmann::json::object()));
}

bool HostDaemon::Parts::isEvacuated() const {
  return Site_.Fleet_.EvacuatedZones_.contains(Settings_.Zone_);
}

void HostDaemon::Parts::applyCold(std::chrono::milliseconds For) {
  const ServiceSpec *Spec =
      Site_.Manifest_ == nullptr
          ? nullptr
          : findService(*Site_.Manifest_, Settings_.Service_);
  ColdUnknown_ = Spec == nullptr;
  if (Spec == nullptr)
    return;
  Door_.setCold(For, Spec->ColdPerSecond_);
}

void HostDaemon::Parts::onLifeChanged() {
  if (Life_) {
    const std::string Name =
        Life_->Last_.Upstream_ + "/" + std::to_string(Life_->Last_.Born_);
    if (Name != OpenLife_) {
      tell(EventId::UpstreamAnnounced, Name);
      Door_.openFor(Life_->Last_.Upstream_, Life_->Last_.Slots_);
      OpenLife_ = Name;
    }
  }
  updateDoor();
  publishMember();
}

void HostDaemon::Parts::updateDoor() {
  const bool Evacuated = isEvacuated();
  if (WasEvacuated_ && !Evacuated) {
    // Upstreams may have turned cold meanwhile; their health tells.
    ColdUnknown_ = true;
    askHealth();
  }
  WasEvacuated_ = Evacuated;
  Door_.setAccepting(takesRequests(Life_) && !Evacuated && !ColdUnknown_ &&
                     !Drained_);
  OwnUpstream Known = ownUpstream(Life_);
  const bool Hand = Evacuated || StoppingSince_.has_value();
  if (Hand && Known.State_ == OwnUpstream::State::Serving)
    Known.State_ = OwnUpstream::State::Leaving;
  Keys_.onUpstream(Known);
}

void HostDaemon::Parts::checkUpstream() {
  if (!Life_ || Life_->Ended_)
    return;
  const Instant Now = Time_.now();
  const bool Quiet = Now - Life_->HeardAt_ > HeartbeatPatience;
  const bool Asked =
      HealthAskedAt_ && Now - *HealthAskedAt_ < HeartbeatPatience / 2;
  if ((Quiet && !Life_->Silent_ && !Asked) || (ColdUnknown_ && !Asked))
    askHealth();
}

void HostDaemon::Parts::askHealth() {
  const ServiceSpec *Spec =
      Site_.Manifest_ == nullptr
          ? nullptr
          : findService(*Site_.Manifest_, Settings_.Service_);
  if (AskingHealth_ || Spec == nullptr || !Life_)
    return;
  AskingHealth_ = true;
  HealthAskedAt_ = Time_.now();
  HttpRequest Question;
  Question.Target_ = Spec->HealthPath_;
  HttpCallOptions Call;
  Call.Timeout_ = HealthTimeout;
  const std::string Asked = OpenLife_;
  Upstreams_.send(
      Settings_.UpstreamAddress_, std::move(Question), Call,
      [this, Asked](const HttpResult &Result) {
        AskingHealth_ = false;
        if (!Life_ || OpenLife_ != Asked)
          return;
        if (Result.Status_ != HttpStatus::Answered) {
          Life_->Ended_ = Life_->Ended_ || Result.Refused_;
          Life_->Silent_ = Time_.now() - Life_->HeardAt_ > HeartbeatPatience;
          if (Life_->Ended_ || Life_->Silent_)
            tell(EventId::UpstreamLost, Asked);
          onLifeChanged();
          return;
        }
        const std::string *Cold =
            findHeader(Result.Response_.Headers_, Names_.ColdMillis_);
        applyCold(std::chrono::milliseconds(
            Cold == nullptr ? 0 : std::strtol(Cold->c_str(), nullptr, 10)));
        updateDoor();
      });
}

MemberRecord HostDaemon::Parts::ownRecord() const {
  MemberRecord Record;
  Record.Host_ = Settings_.Host_;
  Record.Zone_ = Settings_.Zone_;
  Record.Service_ = Settings_.Service_;
  Record.PeerAddress_ = Settings_.PeersAddress_;
  if (!Life_)
    return Record;
  Record.Upstream_ = Life_->Last_.Upstream_;
  Record.Born_ = Life_->Last_.Born_;
  Record.Slots_ = Life_->Last_.Slots_;
  if (Life_->Ended_ || Life_->Silent_)
    Record.State_ = UpstreamState::Lost;
  else
    Record.State_ =
        Life_->Leaving_ ? UpstreamState::Draining : UpstreamState::Ready;
  return Record;
}

void HostDaemon::Parts::publishMember() {
  const Instant Now = Time_.now();
  const MemberRecord Record = ownRecord();
  noteRecord(Site_.Fleet_, Record, Now);
  if (Publishing_ || Record == Published_ || Now < PublishAt_ || !Life_)
    return;
  Publishing_ = true;
  Store_.append(MembersTopic, Record.Host_, encodeMember(Record), std::nullopt,
                [this, Record](const AppendReply &Reply) {
                  Publishing_ = false;
                  if (Reply.Kind_ == AppendReply::Kind::Done)
                    Published_ = Record;
                  else
                    PublishAt_ = Time_.now() + MemberRetry;
                });
}

void HostDaemon::Parts::onOperatorRecords(
    const std::vector<StoreRecord> &Records, bool Whole) {
  std::set<std::string> Zones;
  if (!Whole)
    Zones = Site_.Fleet_.EvacuatedZones_;
  for (const StoreRecord &Record : Records) {
    if (Record.Key_ == ManifestKey) {
      applyManifest(Record.Value_);
      continue;
    }
    const std::optional<std::string> Zone = evacuatedZone(Record.Key_);
    if (!Zone)
      continue;
    if (Record.Value_.empty())
      Zones.erase(*Zone);
    else
      Zones.insert(*Zone);
  }
  if (Zones == Site_.Fleet_.EvacuatedZones_)
    return;
  Site_.Fleet_.EvacuatedZones_ = Zones;
  std::string Names;
  for (const std::string &Zone : Zones)
    Names += Names.empty() ? Zone : " " + Zone;
  tell(EventId::EvacuationChanged, Names);
  updateDoor();
}

void HostDaemon::Parts::applyManifest(const std::string &Text) {
  std::optional<Manifest> Decoded = decodeManifest(Text);
  if (!Decoded) {
    tell(EventId::ConfigUnreadable, std::to_string(Text.size()));
    return;
  }
  const bool Newer = Site_.Manifest_ == nullptr ||
                     Decoded->Version_ > Site_.Manifest_->Version_;
  if (!Newer)
    return;
  HttpServerOptions Limits;
  Limits.HeaderLimit_ = Decoded->Limits_.HeaderBytes_;
  Limits.BodyLimit_ = Decoded->Limits_.BodyBytes_;
  Limits.RequestTimeout_ = Decoded->Limits_.RequestTimeout_;
  Limits.IdleTimeout_ = Decoded->Limits_.IdleTimeout_;
  Callers_.setLimits(Limits);
  const bool First = Site_.Manifest_ == nullptr;
  tell(EventId::ConfigApplied, std::to_string(Decoded->Version_));
  Site_.Manifest_ = std::make_shared<const Manifest>(std::move(*Decoded));
  followTables();
  if (First && Life_) {
    applyCold(Life_->Last_.ColdFor_);
    updateDoor();
  }
}

void HostDaemon::Parts::followTables() {
  for (const auto &[Name, Spec] : Site_.Manifest_->Services_) {
    if (!Spec.Divided_ || Tables_.contains(Name))
      continue;
    const std::string Service = Name;
    Tables_[Name] = std::make_unique<TopicFollower>(
        Loop_, Time_, Store_, KeyedPrefix + ("keys." + Name),
        [this, Service](const std::vector<StoreRecord> &Records, bool) {
          onTableRecords(Service, Records);
        });
    Tables_[Name]->start();
  }
}

void HostDaemon::Parts::onMemberRecords(
    const std::vector<StoreRecord> &Records) {
  const Instant Now = Time_.now();
  for (const StoreRecord &Record : Records) {
    if (Record.Key_ == Settings_.Host_)
      continue;
    const std::optional<MemberRecord> Member = decodeMember(Record.Value_);
    if (!Member || Member->Host_ != Record.Key_) {
      tell(EventId::RecordUnreadable, Record.Key_);
      continue;
    }
    noteRecord(Site_.Fleet_, *Member, Now);
  }
  Router_.onSiteChanged();
}

void HostDaemon::Parts::onTableRecords(
    const std::string &Service, const std::vector<StoreRecord> &Records) {
  std::optional<KeyTable> Newest;
  for (const StoreRecord &Record : Records) {
    std::optional<KeyTable> Table = decodeTable(Record.Value_, Record.Offset_);
    if (!Table) {
      tell(EventId::RecordUnreadable, Service);
      continue;
    }
    Newest = std::move(Table);
  }
  KeyTable &Known = Site_.Tables_[Service];
  if (Newest && (!Known.At_ || *Newest->At_ > *Known.At_))
    Known = *Newest;
  if (Service == Settings_.Service_)
    Keys_.onTable(Newest, Tables_.at(Service)->end());
  Router_.onSiteChanged();
}

void HostDaemon::Parts::onPeer(HttpRequest Request,
                               const std::shared_ptr<HttpExchange> &Exchange) {
  if (isForward(Request)) {
    onForward(std::move(Request), Exchange);
    return;
  }
  if (Request.Target_.starts_with(RelayPrefix)) {
    onRelay(std::move(Request), Exchange);
    return;
  }
  onFateQuestion(Request, *Exchange);
}

void HostDaemon::Parts::onForward(
    HttpRequest Request, const std::shared_ptr<HttpExchange> &Exchange) {
  std::optional<DoorRequest> Forward =
      decodeForward(std::move(Request), Time_.now());
  if (!Forward) {
    Exchange->respond(plainResponse(400));
    return;
  }
  const RequestId Id = Forward->Id_;
  Exchange->onAbandoned([this, Id] { Door_.cancel(Id); });
  Door_.serve(std::move(*Forward), [Exchange](DoorAnswer Answer) {
    Exchange->respond(encodeDoorAnswer(std::move(Answer)));
  });
}

void HostDaemon::Parts::onFateQuestion(const HttpRequest &Request,
                                       HttpExchange &Exchange) {
  const std::optional<FateQuestion> Question =
      decodeFateQuestion(Request.Target_);
  if (!Question) {
    Exchange.respond(plainResponse(404));
    return;
  }
  FateReport Report;
  // Another process can say nothing of what this one was not given.
  if (Question->Process_ == Process_)
    Report = Door_.lookUp(Question->Id_, Question->StartWithin_);
  Exchange.respond(encodeFateReply(Report));
}

void HostDaemon::Parts::onRelay(HttpRequest Request,
                                const std::shared_ptr<HttpExchange> &Exchange) {
  std::erase_if(Request.Headers_, [](const HttpHeader &Header) {
    return isHopByHop(Header.Name_);
  });
  Store_.relay(std::move(Request), [Exchange](HttpResult Result) {
    if (Result.Status_ == HttpStatus::Answered)
      Exchange->respond(std::move(Result.Response_));
    else
      Exchange->respond(
          plainResponse(Result.Status_ == HttpStatus::NotSent ? 503 : 504));
  });
}

std::string HostDaemon::Parts::pickRelay() {
  std::vector<std::string> Addresses;
  const Instant Now = Time_.now();
  for (const auto &[Host, Member] : Site_.Fleet_.Members_)
    if (Host != Settings_.Host_ && isFresh(Member, FreshPeer, Now))
      Addresses.push_back(Member.Record_.PeerAddress_);
  if (Addresses.empty())
    return {};
  return Addresses[Random_() % Addresses.size()];
}

LoadDigest HostDaemon::Parts::ownDigest() {
  constexpr double Hundred = 100;
  const DoorQueue &Queue = Door_.queue();
  const Instant Now = Time_.now();
  LoadDigest Digest;
  Digest.Host_ = Settings_.Host_;
  Digest.Process_ = Process_;
  Digest.Sequence_ = ++DigestSequence_;
  Digest.Accepts_ = Door_.isAccepting();
  Digest.Stopping_ = StoppingSince_.has_value();
  Digest.Settling_ = Keys_.isSettling();
  Digest.Running_ = Queue.Running_;
  Digest.Queued_ = static_cast<std::uint32_t>(Queue.Waiting_.size());
  Digest.Slots_ = Queue.Slots_;
  Digest.WorkMillis_ =
      static_cast<std::uint32_t>(toMillis(Queue.Work_).count());
  Digest.KeyEpoch_ = Keys_.duty().Epoch_;
  Digest.KeyRate_ = static_cast<std::uint32_t>(Keys_.rate() * Hundred);
  if (isCold(Queue, Now))
    Digest.ColdRate_ = static_cast<std::uint32_t>(Queue.ColdPerSecond_);
  Digest.ConfigEnd_ = Operators_.end();
  Digest.MembersEnd_ = Members_.end();
  const auto Table = Tables_.find(Settings_.Service_);
  if (Table != Tables_.end())
    Digest.TableEnd_ = Table->second->end();
  return Digest;
}

void HostDaemon::Parts::sendDigests() {
  const Instant Now = Time_.now();
  if (Now < DigestAt_)
    return;
  const double Peers = static_cast<double>(Site_.Fleet_.Members_.size());
  const Duration Pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Peers / MaxDigestsPerSecond));
  DigestAt_ = Now + std::max<Duration>(DigestEvery, Pause);
  const LoadDigest Digest = ownDigest();
  noteDigest(Site_.Fleet_, Digest, Now);
  const std::string Message = encodeDigest(Digest);
  for (const auto &[Host, Member] : Site_.Fleet_.Members_)
    if (Host != Settings_.Host_)
      Digests_.send(Member.Record_.PeerAddress_, Message);
}

void HostDaemon::Parts::onDigest(const char *Data, std::size_t Size) {
  const std::optional<LoadDigest> Digest = decodeDigest(Data, Size);
  if (!Digest)
    return;
  noteDigest(Site_.Fleet_, *Digest, Time_.now());
  Operators_.hint(Digest->ConfigEnd_);
  Members_.hint(Digest->MembersEnd_);
  const FleetMember *Member = findMember(Site_.Fleet_, Digest->Host_);
  if (Member == nullptr)
    return;
  const auto Table = Tables_.find(Member->Record_.Service_);
  if (Table != Tables_.end())
    Table->second->hint(Digest->TableEnd_);
}

void HostDaemon::Parts::onAdmin(const HttpRequest &Request,
                                HttpExchange &Exchange) {
  if (Request.Target_ == "/metrics") {
    HttpResponse Response = plainResponse(200);
    Response.Headers_.push_back({"Content-Type", "text/plain"});
    Response.Body_ = Numbers_.text();
    Exchange.respond(std::move(Response));
    return;
  }
  Exchange.respond(plainResponse(404));
}

void HostDaemon::Parts::tick() {
  Ticker_ = Loop_.after(TickEvery, [this] { tick(); });
  checkUpstream();
  publishMember();
  sendDigests();
  Keys_.tick();
  Door_.tick();
  Upstreams_.reapIdle();
  Peers_.reapIdle();
  if (StoppingSince_)
    tryFinishStop();
}

void HostDaemon::Parts::startStop() {
  if (StoppingSince_)
    return;
  tell(EventId::DaemonStopping, "");
  StoppingSince_ = Time_.now();
  DigestAt_ = Instant::min();
  Callers_.announceClose();
  updateDoor();
}

void HostDaemon::Parts::tryFinishStop() {
  const Duration Since = Time_.now() - *StoppingSince_;
  if (Since < LeaveWait)
    return;
  if (!Drained_) {
    Drained_ = true;
    Callers_.drain();
    updateDoor();
  }
  const bool Done = Callers_.openExchanges() == 0 &&
                    Router_.openRequests() == 0 && Peer_.openExchanges() == 0;
  if (!Done && Since < Settings_.Bounds_.StopWithin_ - StopMargin)
    return;
  tell(EventId::DaemonStopped, "");
  Loop_.stop();
}

void HostDaemon::Parts::reloadSettings() {
  try {
    HostSettings Fresh = loadHostSettings(SettingsFile_);
    Settings_.Bounds_ = Fresh.Bounds_;
    tell(EventId::SettingsReloaded, SettingsFile_);
  } catch (const SettingsError &Failure) {
    tell(EventId::SettingsRejected, Failure.what());
  }
}

HostDaemon::HostDaemon(const Clock &Time, HostSettings Settings,
                       std::string SettingsFile, std::uint64_t Process)
    : Parts_(std::make_unique<Parts>(Time, std::move(Settings),
                                     std::move(SettingsFile), Process)) {}

HostDaemon::~HostDaemon() = default;

void HostDaemon::run() { Parts_->Loop_.run(); }

void HostDaemon::stop() {
  Parts_->Loop_.post([this] { Parts_->startStop(); });
}

void HostDaemon::reload() {
  Parts_->Loop_.post([this] { Parts_->reloadSettings(); });
}

} // namespace lagoonhitch

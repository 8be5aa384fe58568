#include "daemon/daemon.h"

#include "daemon/admin_service.h"
#include "daemon/digest_exchange.h"
#include "daemon/manifest_caller_interface.h"
#include "daemon/ownership_manager.h"
#include "daemon/peer_service.h"
#include "daemon/request_router.h"
#include "daemon/settings_caller_interface.h"
#include "daemon/site_state.h"
#include "daemon/site_watcher.h"
#include "daemon/upstream_gateway.h"
#include "daemon/upstream_manager.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "observe/audit_trail.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "ownership/table_change.h"
#include "platform/platform_headers.h"
#include "platform/store_client.h"
#include "settings/settings_error.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds TickEvery{50};
/// Time from SIGTERM until callers have learnt to go elsewhere.
constexpr std::chrono::milliseconds LeaveWait{2300};
/// Time that is left for the end of a stop.
constexpr std::chrono::milliseconds StopMargin{500};
/// Silence after which a peer is not asked to pass calls on.
constexpr std::chrono::milliseconds FreshPeer{1500};
constexpr std::size_t AuditEntries = 256;
constexpr std::size_t LargestBody = 64U * 1024U * 1024U;
/// Forwarded requests have a header more than callers may send.
constexpr std::size_t PeerHeaderBytes = 128U * 1024U;

HttpClientOptions clientOptions(std::chrono::milliseconds IdleLimit,
                                std::chrono::milliseconds ConnectTimeout) {
  HttpClientOptions Options;
  Options.IdleLimit_ = IdleLimit;
  Options.ConnectTimeout_ = ConnectTimeout;
  Options.BodyLimit_ = LargestBody;
  return Options;
}

HttpServerOptions listenOn(const std::string &Address) {
  HttpServerOptions Options;
  Options.Address_ = Address;
  return Options;
}

HttpServerOptions listenForPeers(const std::string &Address) {
  HttpServerOptions Options = listenOn(Address);
  Options.HeaderLimit_ = PeerHeaderBytes;
  Options.BodyLimit_ = LargestBody;
  return Options;
}

HttpServerOptions listenForCallers(const DaemonSettings &Settings,
                                   const std::string &Address) {
  HttpServerOptions Options = listenOn(Address);
  Options.BodyLimit_ = Settings.BodyLimitBytes_;
  return Options;
}

SharedRetryBudgetOptions budgetOf(const SiteBounds &Bounds) {
  SharedRetryBudgetOptions Options;
  Options.Ratio_ = Bounds.RetryRatio_;
  Options.Slack_ = Bounds.RetrySlack_;
  Options.Window_ = Bounds.RetryWindow_;
  return Options;
}

KeyOwnershipOptions keyOptionsOf(const DaemonSettings &Settings) {
  KeyOwnershipOptions Options;
  Options.Lease_ = Settings.Lease_;
  Options.RenewInterval_ = Settings.RenewEvery_;
  Options.Hold_ = std::min(Settings.Hold_, Settings.Bounds_.MaxHold_);
  Options.SuspectAfter_ = Settings.SuspectAfter_;
  return Options;
}

std::unique_ptr<CallerInterface> callersOf(const DaemonSettings &Settings,
                                           const SiteState &Site,
                                           bool Internal) {
  if (Settings.Services_.empty())
    return std::make_unique<ManifestCallerInterface>(Site, platformHeaders());
  return std::make_unique<SettingsCallerInterface>(Settings.Services_,
                                                   Internal);
}

/// Where the settings define the services, they are the manifest.
Manifest manifestOf(const DaemonSettings &Settings) {
  Manifest Made;
  Made.Version_ = 1;
  Made.Limits_.MaxBodyBytes_ = Settings.BodyLimitBytes_;
  for (const ServiceSettings &Service : Settings.Services_) {
    ServiceSpec Spec;
    Spec.Name_ = Service.Name_;
    Spec.Sharded_ = Service.Divided_;
    Made.Services_[Spec.Name_] = Spec;
  }
  return Made;
}

} // namespace

struct Daemon::Parts {
  Parts(const Clock &Time, DaemonSettings Settings, SettingsReader Read,
        std::uint64_t Process);

  KeyReports keyReports();
  KeyHooks doorKeys();
  SiteReports siteReports();
  UpstreamPlace upstreamPlace() const;
  void openInternal();
  void tellStart();
  void onManifest();
  void onReady(HttpExchange &Exchange) const;
  LoadDigest makeDigest();
  void passOn(const std::string &Topic, const StoreRecord &Record);
  void passTable(const KeyTable &Before, const KeyTable &Table);
  std::string pickRelay();
  void tick();
  void startStop();
  void tryFinishStop();
  void reloadSettings();
  void tell(EventId Id, const std::string &Subject);

  const Clock &Time_;
  DaemonSettings Settings_;
  SettingsReader Read_;
  std::uint64_t Process_;
  HeaderNames Names_ = platformHeaders();
  EventLog Events_;
  AuditTrail Trail_{AuditEntries};
  Metrics Numbers_;
  std::mt19937_64 Random_;
  IoLoop Loop_;
  SiteState Site_;
  std::unique_ptr<CallerInterface> Outside_;
  std::unique_ptr<CallerInterface> Inside_;
  HttpClient Upstreams_;
  HttpClient Peers_;
  HttpClient StoreCalls_;
  HttpClient StoreWaits_;
  StoreClient Store_;
  KeyKeeper Keys_;
  UpstreamGateway Gateway_;
  RequestRouter Router_;
  SiteWatch Watch_;
  PeerService PeerAnswers_;
  HttpServer Peer_;
  DigestExchange Digests_;
  UpstreamKeeper Upstream_;
  AdminService Operators_;
  HttpServer Announce_;
  HttpServer Admin_;
  std::unique_ptr<HttpServer> Ready_;
  HttpServer Callers_;
  std::unique_ptr<HttpServer> Internal_;

  std::uint64_t DigestSequence_ = 0;
  std::shared_ptr<void> Ticker_;
  std::optional<Instant> StoppingSince_;
  bool Drained_ = false;
};

Daemon::Parts::Parts(const Clock &Time, DaemonSettings Settings,
                     SettingsReader Read, std::uint64_t Process)
    : Time_(Time), Settings_(std::move(Settings)), Read_(std::move(Read)),
      Process_(Process), Events_(Time, Settings_.Host_), Random_(Process),
      Outside_(callersOf(Settings_, Site_, false)),
      Inside_(callersOf(Settings_, Site_, true)),
      Upstreams_(Loop_, Time,
                 clientOptions(std::chrono::milliseconds(4000),
                               std::chrono::milliseconds(250))),
      Peers_(Loop_, Time,
             clientOptions(std::chrono::milliseconds(8000),
                           std::chrono::milliseconds(250))),
      StoreCalls_(Loop_, Time,
                  clientOptions(std::chrono::milliseconds(4000),
                                std::chrono::milliseconds(500))),
      StoreWaits_(Loop_, Time,
                  clientOptions(std::chrono::milliseconds(4000),
                                std::chrono::milliseconds(500))),
      Store_(StoreCalls_, StoreWaits_, Settings_.StoreAddress_,
             [this] { return pickRelay(); }),
      Keys_(Time, Store_, Upstreams_, Site_,
            {Settings_.Host_, Settings_.Service_, Settings_.UpstreamAddress_},
            keyOptionsOf(Settings_), keyReports()),
      Gateway_(Loop_, Time, Upstreams_, Names_, Settings_.Service_,
               Settings_.UpstreamAddress_, doorKeys(),
               {[this] { Upstream_.onRefused(); }}),
      Router_(Loop_, Time, Site_, Peers_, Gateway_, Numbers_, Names_,
              budgetOf(Settings_.Bounds_),
              {Settings_.Host_, Settings_.Zone_, Settings_.Service_, Process},
              [this](EventId Id, const std::string &Request,
                     const std::string &Details) {
                Numbers_.countEvent(eventInfo(Id).Name_);
                Events_.write(Id, {{"request", Request}, {"why", Details}});
              }),
      Watch_(Loop_, Time, Store_, Site_, Settings_.Host_, siteReports()),
      PeerAnswers_(Time, Gateway_, Store_, Process),
      Peer_(Loop_, listenForPeers(Settings_.PeersAddress_),
            [this](HttpRequest Request,
                   const std::shared_ptr<HttpExchange> &Exchange) {
              PeerAnswers_.handle(std::move(Request), Exchange);
            }),
      Digests_(Loop_, Time, Site_, Peer_.address(), Settings_.Host_,
               Settings_.Service_,
               {[this] { return makeDigest(); },
                [this](const LoadDigest &Digest) { Watch_.hint(Digest); },
                [this](const PassedRecord &Passed) {
                  Watch_.takeRecord(Passed.Topic_, Passed.Record_);
                }}),
      Upstream_(
          Time, Store_, Upstreams_, Site_, Gateway_, Keys_, Names_,
          upstreamPlace(),
          [this](EventId Id, const std::string &Subject) { tell(Id, Subject); },
          [this](const StoreRecord &Record) { passOn(MembersTopic, Record); }),
      Operators_(Time, Settings_, Site_, Keys_, Gateway_, Store_, Trail_,
                 Numbers_),
      Announce_(Loop_, listenOn(Settings_.AnnounceAddress_),
                [this](const HttpRequest &Request,
                       const std::shared_ptr<HttpExchange> &Exchange) {
                  Upstream_.handle(Request, *Exchange);
                }),
      Admin_(Loop_, listenOn(Settings_.AdminAddress_),
             [this](const HttpRequest &Request,
                    const std::shared_ptr<HttpExchange> &Exchange) {
               Operators_.handle(Request, *Exchange);
             }),
      Callers_(Loop_, listenForCallers(Settings_, Settings_.CallersAddress_),
               [this](HttpRequest Request,
                      const std::shared_ptr<HttpExchange> &Exchange) {
                 Router_.handle(std::move(Request), Exchange, *Outside_);
               }) {
  openInternal();
  tellStart();
  if (!Settings_.Services_.empty())
    Watch_.applyManifest(manifestOf(Settings_));
  Watch_.start();
  tick();
}

KeyReports Daemon::Parts::keyReports() {
  KeyReports Reports;
  Reports.Changed_ = [this] { Gateway_.onKeysChanged(); };
  Reports.Table_ = [this](const KeyTable &Table) {
    const KeyTable Before =
        std::exchange(Site_.Tables_[Settings_.Service_], Table);
    Router_.onSiteChanged();
    passTable(Before, Table);
  };
  Reports.Behind_ = [this](Offset End) {
    Watch_.hintTable(Settings_.Service_, End);
  };
  Reports.Event_ = [this](EventId Id, const std::string &Subject) {
    tell(Id, Subject);
  };
  return Reports;
}

KeyHooks Daemon::Parts::doorKeys() {
  KeyHooks Hooks;
  Hooks.Serves_ = [this](KeyId Key) { return Keys_.serves(Key); };
  Hooks.Owns_ = [this](KeyId Key) { return Keys_.settles(Key); };
  Hooks.CountRequest_ = [this](KeyId Key) { Keys_.count(Key); };
  return Hooks;
}

SiteReports Daemon::Parts::siteReports() {
  SiteReports Reports;
  Reports.Manifest_ = [this] { onManifest(); };
  Reports.Evacuations_ = [this] { Upstream_.onSiteChanged(); };
  Reports.Changed_ = [this] { Router_.onSiteChanged(); };
  Reports.Table_ = [this](const std::string &Service,
                          const std::optional<KeyTable> &Table, Offset End) {
    if (Service == Settings_.Service_)
      Keys_.onTable(Table, End);
  };
  Reports.Event_ = [this](EventId Id, const std::string &Subject) {
    tell(Id, Subject);
  };
  return Reports;
}

UpstreamPlace Daemon::Parts::upstreamPlace() const {
  UpstreamPlace Place;
  Place.Host_ = Settings_.Host_;
  Place.Zone_ = Settings_.Zone_;
  Place.Service_ = Settings_.Service_;
  Place.UpstreamAddress_ = Settings_.UpstreamAddress_;
  Place.DigestAddress_ = Peer_.address();
  Place.Process_ = Process_;
  Place.PeerAddress_ = Settings_.PeersPublicAddress_.empty()
                           ? Peer_.address()
                           : Settings_.PeersPublicAddress_;
  return Place;
}

void Daemon::Parts::openInternal() {
  if (!Settings_.ReadyAddress_.empty())
    Ready_ = std::make_unique<HttpServer>(
        Loop_, listenOn(Settings_.ReadyAddress_),
        [this](const HttpRequest &,
               const std::shared_ptr<HttpExchange> &Exchange) {
          onReady(*Exchange);
        });
  if (!Settings_.InternalAddress_.empty())
    Internal_ = std::make_unique<HttpServer>(
        Loop_, listenForCallers(Settings_, Settings_.InternalAddress_),
        [this](HttpRequest Request,
               const std::shared_ptr<HttpExchange> &Exchange) {
          Router_.handle(std::move(Request), Exchange, *Inside_);
        });
}

void Daemon::Parts::tellStart() {
  nlohmann::json Details = {{"callers", Callers_.address()},
                            {"peers", Peer_.address()},
                            {"announce", Announce_.address()},
                            {"admin", Admin_.address()},
                            {"process", Process_}};
  if (Internal_)
    Details["internal"] = Internal_->address();
  Events_.write(EventId::DaemonStarted, Details);
}

void Daemon::Parts::tell(EventId Id, const std::string &Subject) {
  Numbers_.countEvent(eventInfo(Id).Name_);
  Events_.write(Id, {{"subject", Subject}});
  if (isAuditEvent(Id))
    Trail_.add({0,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    Time_.wallNow().time_since_epoch()),
                Settings_.Host_, eventInfo(Id).Name_, Subject, ""});
}

void Daemon::Parts::onManifest() {
  const CallerLimits &Limits = Site_.Manifest_->Limits_;
  HttpServerOptions Options;
  Options.HeaderLimit_ = Limits.MaxHeaderBytes_;
  Options.BodyLimit_ = Limits.MaxBodyBytes_;
  Options.RequestTimeout_ = Limits.RequestTimeout_;
  Options.IdleTimeout_ = Limits.IdleTimeout_;
  Callers_.setLimits(Options);
  Upstream_.onSiteChanged();
}

void Daemon::Parts::onReady(HttpExchange &Exchange) const {
  HttpResponse Response;
  const bool Ready = Site_.Manifest_ != nullptr && !StoppingSince_;
  Response.Status_ = Ready ? 200 : 503;
  Exchange.respond(std::move(Response));
}

LoadDigest Daemon::Parts::makeDigest() {
  constexpr double Hundred = 100;
  LoadDigest Digest;
  Digest.Host_ = Settings_.Host_;
  Digest.Process_ = Process_;
  Digest.Sequence_ = ++DigestSequence_;
  Digest.Accepting_ = Gateway_.isAccepting();
  Digest.Stopping_ = StoppingSince_.has_value();
  Digest.RecentlyGainedKeys_ = Keys_.isSettling();
  const LoadReport Load = Gateway_.load();
  Digest.Running_ = Load.Running_;
  Digest.Queued_ = Load.Queued_;
  Digest.Slots_ = Load.Slots_;
  Digest.ProcessingMillis_ = Load.ProcessingMillis_;
  Digest.ColdRate_ = Load.ColdRate_;
  Digest.KeyEpoch_ = Keys_.duty().Epoch_;
  Digest.KeyRate_ = static_cast<std::uint32_t>(Keys_.rate() * Hundred);
  Watch_.writeEnds(Digest, Settings_.Service_);
  return Digest;
}

/// Peers that know the table before are told what has changed; others read the
/// whole one.
void Daemon::Parts::passTable(const KeyTable &Before, const KeyTable &Table) {
  const std::string Topic = tableTopic(Settings_.Service_);
  const StoreRecord Whole = {TableKey, encodeTable(Table), *Table.Offset_};
  const std::optional<std::string> Change = encodeChange(Before, Table);
  if (!Change) {
    passOn(Topic, Whole);
    return;
  }
  Watch_.takeRecord(Topic, Whole);
  Digests_.pushRecord({Topic, {TableChangeKey, *Change, *Table.Offset_}});
}

/// Peers learn of an acknowledged record from its writer, and this daemon's own
/// reader with them.
void Daemon::Parts::passOn(const std::string &Topic,
                           const StoreRecord &Record) {
  Watch_.takeRecord(Topic, Record);
  Digests_.pushRecord({Topic, Record});
}

std::string Daemon::Parts::pickRelay() {
  std::vector<std::string> Addresses;
  const Instant Now = Time_.now();
  for (const auto &[Host, Member] : Site_.Fleet_.Members_)
    if (Host != Settings_.Host_ && hasRecentDigest(Member, FreshPeer, Now))
      Addresses.push_back(Member.Record_.PeerAddress_);
  if (Addresses.empty())
    return {};
  return Addresses[Random_() % Addresses.size()];
}

void Daemon::Parts::tick() {
  Ticker_ = Loop_.after(TickEvery, [this] { tick(); });
  Upstream_.tick();
  Digests_.tick();
  Keys_.tick();
  Gateway_.tick();
  Upstreams_.reapIdle();
  Peers_.reapIdle();
  PeerAnswers_.tick();
  if (StoppingSince_)
    tryFinishStop();
}

void Daemon::Parts::startStop() {
  if (StoppingSince_) {
    Loop_.stop();
    return;
  }
  tell(EventId::DaemonStopping, "");
  StoppingSince_ = Time_.now();
  Callers_.announceClose();
  if (Internal_)
    Internal_->announceClose();
  Upstream_.handOver();
  Digests_.sendNow();
}

void Daemon::Parts::tryFinishStop() {
  const Duration Since = Time_.now() - *StoppingSince_;
  if (Since < LeaveWait)
    return;
  if (!Drained_) {
    Drained_ = true;
    Callers_.drain();
    if (Internal_)
      Internal_->drain();
    Upstream_.closeDoor();
    // Requests that have just come are not counted yet.
    return;
  }
  const bool Done = Callers_.openExchanges() == 0 &&
                    Router_.openRequests() == 0 && Peer_.openExchanges() == 0;
  if (!Done && Since < Settings_.Bounds_.StopWithin_ - StopMargin)
    return;
  tell(EventId::DaemonStopped, "");
  Loop_.stop();
}

void Daemon::Parts::reloadSettings() {
  try {
    Settings_.Bounds_ = Read_().Bounds_;
    tell(EventId::SettingsReloaded, "bounds");
  } catch (const SettingsError &Failure) {
    tell(EventId::SettingsRejected, Failure.what());
  }
}

Daemon::Daemon(const Clock &Time, DaemonSettings Settings, SettingsReader Read,
               std::uint64_t Process)
    : Parts_(std::make_unique<Parts>(Time, std::move(Settings), std::move(Read),
                                     Process)) {}

Daemon::~Daemon() = default;

void Daemon::run() {
  Parts_->Loop_.run();
  Parts_->Events_.close();
}

void Daemon::stop() {
  Parts_->Loop_.post([this] { Parts_->startStop(); });
}

void Daemon::reload() {
  Parts_->Loop_.post([this] { Parts_->reloadSettings(); });
}

} // namespace lagoonhitch

#include "daemon/daemon.h"

#include "daemon/connection_description.h"
#include "daemon/daemon_impl.h"
#include "daemon/daemon_options.h"
#include "daemon/forward_codec.h"
#include "daemon/manifest_caller_interface.h"
#include "daemon/settings_caller_interface.h"
#include "membership/poll_schedule.h"
#include "ownership/table_change.h"
#include "platform/platform_headers.h"
#include "settings/settings_error.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace lagoonhitch {

namespace {

constexpr std::chrono::milliseconds TickInterval{50};
/// Time reserved for the end of a shutdown, before the stop timeout.
constexpr std::chrono::milliseconds ShutdownMargin{500};
/// Age of the last load digest from which a peer is not used as a relay to the
/// store.
constexpr std::chrono::milliseconds MaxDigestAge{1500};
constexpr std::size_t MaxAuditEntries = 256;
/// Time without a byte of a forwarded request after which its connection may be
/// dead.
constexpr std::chrono::milliseconds MaxUploadSilence{500};

std::unique_ptr<CallerInterface>
makeCallerInterface(const DaemonSettings &Settings, const SiteState &Site,
                    bool Internal) {
  if (Settings.Services_.empty())
    return std::make_unique<ManifestCallerInterface>(Site, platformHeaders());
  return std::make_unique<SettingsCallerInterface>(Settings.Services_,
                                                   Internal);
}

/// Only upstreams on the platform sign their responses.
HeaderNames headerNames(const DaemonSettings &Settings) {
  HeaderNames Names = platformHeaders();
  if (!Settings.Services_.empty())
    Names.Signature_.clear();
  return Names;
}

} // namespace

Daemon::Impl::Impl(const Clock &Time, DaemonSettings Settings,
                   SettingsReader ReadSettings, std::uint64_t Process)
    : Time_(Time), Settings_(std::move(Settings)),
      ReadSettings_(std::move(ReadSettings)), Process_(Process),
      Names_(headerNames(Settings_)), Events_(Time, Settings_.Host_),
      Trail_(MaxAuditEntries),
      Recorder_(Time, Settings_.Host_, Events_, Trail_, Metrics_),
      Random_(Process),
      Budget_(std::make_shared<MemoryBudget>(
          budgetOptions(Settings_.MemoryMegabytes_, Settings_.MaxBodyBytes_))),
      Loop_([this](const std::exception &Failure) {
        Recorder_.record(EventId::HandlerFailed, Failure.what());
      }),
      PublicInterface_(makeCallerInterface(Settings_, Site_, false)),
      InternalInterface_(makeCallerInterface(Settings_, Site_, true)),
      UpstreamClient_(Loop_, Time,
                      clientOptions(std::chrono::milliseconds(4000),
                                    std::chrono::milliseconds(250))),
      PeerClient_(Loop_, Time, peerClientOptions()),
      StoreCallClient_(Loop_, Time,
                       clientOptions(std::chrono::milliseconds(4000),
                                     std::chrono::milliseconds(500))),
      StorePollClient_(Loop_, Time,
                       clientOptions(std::chrono::milliseconds(4000),
                                     std::chrono::milliseconds(500))),
      Store_(
          StoreCallClient_, StorePollClient_, Settings_.StoreAddress_,
          [this] { return chooseRelay(); },
          [this](StoreEra Era, std::optional<StoreEra> Known) {
            onStoreEra(Era, Known);
          }),
      Ownership_(Time, Store_, UpstreamClient_, Site_,
                 {Settings_.Host_, Settings_.Service_,
                  Settings_.UpstreamAddress_, Names_},
                 ownershipOptions(Settings_), ownershipCallbacks()),
      Gateway_(Loop_, Time, UpstreamClient_, Names_, Settings_.Service_,
               Settings_.UpstreamAddress_, keyHooks(), gatewayCallbacks()),
      Router_(Loop_, Time, Site_, PeerClient_, Gateway_, Metrics_, Names_,
              retryBudgetOptions(Settings_.Bounds_),
              {Settings_.Host_, Settings_.Zone_, Settings_.Service_, Process},
              [this](EventId Id, const std::string &Request,
                     const std::string &Details, const std::string &Parent) {
                Recorder_.recordRequest(Id, Request, Details, Parent);
              }),
      Watcher_(Loop_, Time, Store_, Site_, Settings_.Host_, siteCallbacks()),
      PeerService_(Time, Gateway_, Store_, Process,
                   [this](const RequestId &Id) {
                     return PeerServer_.isReceiving(forwardHeaderOf(Id),
                                                    MaxUploadSilence);
                   }),
      PeerServer_(Loop_, withBudget(peerServerOptions(Settings_.PeersAddress_)),
                  [this](HttpRequest Request,
                         const std::shared_ptr<HttpExchange> &Exchange) {
                    PeerService_.handle(std::move(Request), Exchange);
                  }),
      Digests_(Loop_, Time, Site_, PeerServer_.address(), Settings_.Host_,
               Settings_.Service_,
               {[this] { return makeDigest(); },
                [this](const LoadDigest &Digest) {
                  Watcher_.applyTopicEnds(Digest);
                },
                [this](const PushedRecord &Pushed) {
                  Watcher_.onPushedRecord(Pushed.Topic_, Pushed.Record_);
                }}),
      UpstreamManager_(
          Time, Store_, UpstreamClient_, Site_, Gateway_, Ownership_, Names_,
          upstreamConfig(),
          [this](EventId Id, const std::string &Subject) {
            Recorder_.record(Id, Subject);
          },
          [this](const std::string &Topic, const StoreRecord &Record) {
            pushRecord(Topic, Record);
          }),
      AdminService_(Time, Settings_, Site_, Ownership_, Gateway_, Store_,
                    Trail_, Metrics_),
      HeartbeatServer_(Loop_,
                       withBudget(serverOptions(Settings_.HeartbeatAddress_)),
                       [this](const HttpRequest &Request,
                              const std::shared_ptr<HttpExchange> &Exchange) {
                         UpstreamManager_.handle(Request, Exchange);
                       }),
      AdminServer_(Loop_, withBudget(serverOptions(Settings_.AdminAddress_)),
                   [this](const HttpRequest &Request,
                          const std::shared_ptr<HttpExchange> &Exchange) {
                     AdminService_.handle(Request, *Exchange);
                   }),
      CallerServer_(
          Loop_,
          withBudget(callerServerOptions(Settings_, Settings_.CallersAddress_)),
          [this](HttpRequest Request,
                 const std::shared_ptr<HttpExchange> &Exchange) {
            Router_.handle(std::move(Request), Exchange, *PublicInterface_);
          },
          [this](const HttpRequest &Request) {
            return mayOverlap(PublicInterface_->route(Request, 0));
          }),
      ReadyServer_(openReadyServer()), InternalServer_(openInternalServer()),
      Shutdown_(Time, Loop_,
                {callerServers(), PeerServer_, Router_, Gateway_,
                 UpstreamManager_, Digests_},
                [this](EventId Id, const std::string &Subject) {
                  Recorder_.record(Id, Subject);
                }) {
  reportCuts();
  logStart();
  if (!Settings_.Services_.empty())
    Watcher_.applyManifest(manifestFromSettings(Settings_));
  Watcher_.start();
  tick();
}

UpstreamManagerConfig Daemon::Impl::upstreamConfig() const {
  UpstreamManagerConfig Config;
  Config.Host_ = Settings_.Host_;
  Config.Zone_ = Settings_.Zone_;
  Config.Service_ = Settings_.Service_;
  Config.UpstreamAddress_ = Settings_.UpstreamAddress_;
  Config.DigestAddress_ = PeerServer_.address();
  Config.Process_ = Process_;
  Config.PeerAddress_ = Settings_.PeersPublicAddress_.empty()
                            ? PeerServer_.address()
                            : Settings_.PeersPublicAddress_;
  return Config;
}

/// Returns null if the settings have no address for it.
std::unique_ptr<HttpServer> Daemon::Impl::openReadyServer() {
  if (Settings_.ReadyAddress_.empty())
    return nullptr;
  return std::make_unique<HttpServer>(
      Loop_, withBudget(serverOptions(Settings_.ReadyAddress_)),
      [this](const HttpRequest &,
             const std::shared_ptr<HttpExchange> &Exchange) {
        handleReadiness(*Exchange);
      });
}

/// Returns null if the settings have no address for it.
std::unique_ptr<HttpServer> Daemon::Impl::openInternalServer() {
  if (Settings_.InternalAddress_.empty())
    return nullptr;
  return std::make_unique<HttpServer>(
      Loop_,
      withBudget(callerServerOptions(Settings_, Settings_.InternalAddress_)),
      [this](HttpRequest Request,
             const std::shared_ptr<HttpExchange> &Exchange) {
        Router_.handle(std::move(Request), Exchange, *InternalInterface_);
      },
      [this](const HttpRequest &Request) {
        return mayOverlap(InternalInterface_->route(Request, 0));
      });
}

std::vector<HttpServer *> Daemon::Impl::callerServers() {
  std::vector<HttpServer *> Servers = {&CallerServer_};
  if (InternalServer_)
    Servers.push_back(InternalServer_.get());
  return Servers;
}

/// Logs the connections of callers and other daemons that this daemon cuts.
void Daemon::Impl::reportCuts() {
  std::vector<HttpServer *> Servers = callerServers();
  Servers.push_back(&PeerServer_);
  for (HttpServer *Server : Servers)
    Server->setOnCut(
        [this, Address = Server->address()](const ConnectionCut &Cut) {
          Recorder_.record(EventId::ConnectionCut, describeCut(Address, Cut));
        });
}

/// Returns all servers whose messages count in the memory budget.
std::vector<HttpServer *> Daemon::Impl::budgetedServers() {
  std::vector<HttpServer *> Servers = callerServers();
  Servers.insert(Servers.end(),
                 {&PeerServer_, &HeartbeatServer_, &AdminServer_});
  if (ReadyServer_)
    Servers.push_back(ReadyServer_.get());
  return Servers;
}

HttpServerOptions Daemon::Impl::withBudget(HttpServerOptions Options) const {
  Options.Budget_ = Budget_;
  return Options;
}

void Daemon::Impl::logStart() {
  nlohmann::json Details = {{"callers", CallerServer_.address()},
                            {"peers", PeerServer_.address()},
                            {"announce", HeartbeatServer_.address()},
                            {"admin", AdminServer_.address()},
                            {"process", Process_}};
  if (InternalServer_)
    Details["internal"] = InternalServer_->address();
  Events_.write(EventId::DaemonStarted, Details);
}

void Daemon::Impl::onManifest() {
  const CallerLimits &Limits = Site_.Manifest_->Limits_;
  HttpServerOptions Options;
  Options.MaxHeaderBytes_ = Limits.MaxHeaderBytes_;
  Options.MaxBodyBytes_ = Limits.MaxBodyBytes_;
  Options.RequestTimeout_ = Limits.RequestTimeout_;
  Options.IdleTimeout_ = Limits.IdleTimeout_;
  Options.MaxConnections_ = maxCallerConnections(Settings_.MaxDescriptors_);
  Budget_->setOptions(
      budgetOptions(Settings_.MemoryMegabytes_, Limits.MaxBodyBytes_));
  CallerServer_.setLimits(Options);
  PeerServer_.setLimits(peerServerOptions(Settings_.PeersAddress_, Limits));
  UpstreamManager_.onSiteChanged();
  announceOperatorRecords();
}

/// Lets the hosts that read at long intervals know at once of new records.
void Daemon::Impl::announceOperatorRecords() {
  if (readsOften(Site_.Fleet_, Settings_.Host_, Time_.now()))
    Digests_.sendNow();
}

void Daemon::Impl::handleReadiness(HttpExchange &Exchange) const {
  HttpResponse Response;
  const bool Ready = Site_.Manifest_ != nullptr && !Shutdown_.isInProgress();
  Response.Status_ = Ready ? 200 : 503;
  Exchange.respond(std::move(Response));
}

LoadDigest Daemon::Impl::makeDigest() {
  constexpr double Hundred = 100;
  LoadDigest Digest;
  Digest.Host_ = Settings_.Host_;
  Digest.Process_ = Process_;
  Digest.Sequence_ = ++DigestSequence_;
  Digest.Accepting_ = Gateway_.isAccepting();
  Digest.Stopping_ = Shutdown_.isInProgress();
  Digest.RecentlyGainedKeys_ = Ownership_.recentlyGainedKeys();
  const LoadReport Load = Gateway_.load();
  Digest.Running_ = Load.Running_;
  Digest.Queued_ = Load.Queued_;
  Digest.Slots_ = Load.Slots_;
  Digest.ProcessingMillis_ = Load.ProcessingMillis_;
  Digest.RateLimit_ = Load.RateLimit_;
  Digest.Work_ = Load.Work_;
  Digest.KeyEpoch_ = Ownership_.state().Epoch_;
  Digest.KeyRate_ =
      static_cast<std::uint32_t>(Ownership_.requestRate() * Hundred);
  Watcher_.writeTopicEnds(Digest, Settings_.Service_);
  return Digest;
}

/// Pushes only the changed rows if possible. Peers that do not have the
/// previous table read the complete one from the store.
void Daemon::Impl::pushTable(const KeyTable &Before, const KeyTable &Table) {
  const std::string Topic = tableTopic(Settings_.Service_);
  const std::optional<std::string> Change = encodeChange(Before, Table);
  Watcher_.applyTable(Settings_.Service_, Table);
  if (Change)
    Digests_.pushRecord({Topic, {TableChangeKey, *Change, *Table.Offset_}});
  else
    Digests_.pushRecord(
        {Topic, {TableKey, encodeTable(Table), *Table.Offset_}});
}

/// Pushes a record to all peers and to this daemon's own followers.
void Daemon::Impl::pushRecord(const std::string &Topic,
                              const StoreRecord &Record) {
  Watcher_.onPushedRecord(Topic, Record);
  Digests_.pushRecord({Topic, Record});
}

std::string Daemon::Impl::chooseRelay() {
  std::vector<std::string> Addresses;
  const Instant Now = Time_.now();
  for (const auto &[Host, Member] : Site_.Fleet_.Members_)
    if (Host != Settings_.Host_ && hasRecentDigest(Member, MaxDigestAge, Now))
      Addresses.push_back(Member.Record_.PeerAddress_);
  if (Addresses.empty())
    return {};
  return Addresses[Random_() % Addresses.size()];
}

void Daemon::Impl::onStoreEra(StoreEra Era, std::optional<StoreEra> Known) {
  const auto Number = [](StoreEra Value) {
    return static_cast<std::uint32_t>(Value);
  };
  Recorder_.record(EventId::StoreEraChanged,
                   Known
                       ? absl::StrCat(Number(Era), ", before ", Number(*Known))
                       : absl::StrCat(Number(Era)));
  Ownership_.onStoreEra(Era);
  Watcher_.onStoreRestored();
  UpstreamManager_.onStoreRestored();
}

void Daemon::Impl::tick() {
  measureLoopLag();
  TickTimer_ = Loop_.after(TickInterval, [this] { tick(); });
  runDuty([this] { UpstreamManager_.tick(); });
  runDuty([this] { Digests_.tick(); });
  runDuty([this] { Ownership_.tick(); });
  runDuty([this] { Gateway_.tick(); });
  runDuty([this] { UpstreamClient_.reapIdle(); });
  runDuty([this] { PeerClient_.reapIdle(); });
  runDuty([this] { PeerService_.tick(); });
  runDuty([this] { reportMemory(); });
  Shutdown_.tick();
}

/// Runs one of the duties of a tick. One that fails does not keep the others
/// from running.
void Daemon::Impl::runDuty(const std::function<void()> &Run) {
  try {
    Run();
  } catch (const std::exception &Failure) {
    Recorder_.record(EventId::HandlerFailed, Failure.what());
  }
}

void Daemon::Impl::measureLoopLag() {
  const std::optional<Duration> Reported =
      measureLag(Lag_, TickInterval, Time_.now());
  Metrics_.observeLoopLag(Lag_.Last_);
  const bool Busy = isBusy(Lag_, Time_.now());
  for (HttpServer *Server : callerServers())
    Server->checkClients(Busy);
  PeerServer_.checkClients(Busy);
  if (Reported)
    Recorder_.record(EventId::LateTick,
                     std::to_string(toMillis(*Reported).count()));
}

void Daemon::Impl::reportMemory() {
  RejectionCounts Counts{};
  for (const HttpServer *Server : budgetedServers())
    addCounts(Counts, Server->rejections());
  Metrics_.setHeldBytes(Budget_->bytes());
  const std::vector<NewRejections> Added = newRejections(MemoryReport_, Counts);
  for (const NewRejections &Entry : Added)
    Metrics_.countRejections(rejectionName(Entry.Reason_), Entry.Count_);
  if (const std::string Text =
          describeRejections(MemoryReport_, Budget_->bytes(), Time_.now());
      !Text.empty())
    Recorder_.record(EventId::MemoryScarce, Text);
}

void Daemon::Impl::startShutdown(Instant RequestedAt) {
  Shutdown_.start(RequestedAt, Settings_.Bounds_.StopTimeout_ - ShutdownMargin);
}

void Daemon::Impl::reloadSettings() {
  try {
    Settings_.Bounds_ = ReadSettings_().Bounds_;
    Recorder_.record(EventId::SettingsReloaded, "bounds");
  } catch (const SettingsError &Failure) {
    Recorder_.record(EventId::SettingsRejected, Failure.what());
  }
}

Daemon::Daemon(const Clock &Time, DaemonSettings Settings,
               SettingsReader ReadSettings, std::uint64_t Process)
    : Impl_(std::make_unique<Impl>(Time, std::move(Settings),
                                   std::move(ReadSettings), Process)) {}

Daemon::~Daemon() = default;

void Daemon::run() {
  Impl_->Loop_.run();
  Impl_->Events_.close();
}

void Daemon::stop() {
  Impl_->Loop_.post([this, RequestedAt = Impl_->Time_.now()] {
    Impl_->startShutdown(RequestedAt);
  });
}

void Daemon::reload() {
  Impl_->Loop_.post([this] { Impl_->reloadSettings(); });
}

} // namespace lagoonhitch

#include "daemon/daemon.h"

#include "daemon/admin_service.h"
#include "daemon/control_thread.h"
#include "daemon/entry_service.h"
#include "daemon/log_appender.h"
#include "daemon/log_reader.h"
#include "daemon/owner_service.h"
#include "daemon/peer_service.h"
#include "net/control_codec.h"
#include "net/control_link.h"
#include "net/http_server.h"
#include "net/io_loop.h"
#include "observe/audit_trail.h"
#include "observe/event_log.h"
#include "observe/metrics.h"
#include "platform/http_log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

constexpr std::size_t AuditEntries = 2000;
constexpr std::chrono::milliseconds ServiceTick{20};
constexpr const char *OwnershipStream = "ownership";
/// Shards by which a shared service's Idempotency-Keys get an owner.
constexpr std::uint32_t KeyedShards = 256;
/// Requests of peers that have not yet read of the stop may come this late.
constexpr std::chrono::milliseconds DrainGrace{300};

ControlOptions controlOptions(const DaemonSettings &Settings) {
  ControlOptions Options;
  Options.Lease_.Lease_ = Settings.Lease_;
  Options.Lease_.RenewEvery_ = Settings.RenewEvery_;
  Options.Lease_.SuspectAfter_ = Settings.SuspectAfter_;
  Options.Lease_.TakeoverMargin_ = Settings.TakeoverMargin_;
  Options.Plan_.MaxMovesInFlight_ = Settings.MaxMovesInFlight_;
  for (const ServiceSettings &Service : Settings.Services_)
    Options.Plan_.Services_.push_back(
        {Service.Name_, Service.Divided_ ? Service.Shards_ : KeyedShards});
  return Options;
}

OwnerOptions ownerOptions(const DaemonSettings &Settings) {
  OwnerOptions Options;
  Options.Dedup_.Window_ = Settings.DedupWindow_;
  Options.AnnounceExpiry_ = Settings.AnnounceExpiry_;
  return Options;
}

EntryServiceOptions entryOptions(const DaemonSettings &Settings) {
  EntryServiceOptions Options;
  Options.Entry_.SettleAfter_ = Settings.SettleAfter_;
  Options.RetryPercent_ = Settings.RetryPercent_;
  return Options;
}

HttpServerOptions serverOptions(const DaemonSettings &Settings,
                                const std::string &Address) {
  HttpServerOptions Options;
  Options.Address_ = Address;
  Options.BodyLimit_ = Settings.BodyLimitBytes_;
  return Options;
}

std::string describe(const Record &Entry) {
  struct Describer {
    std::string operator()(const Record::Join &Body) const {
      return Body.Member_.Host_ + " in " + Body.Member_.Zone_;
    }
    std::string operator()(const Record::Update &Body) const {
      return "member " + std::to_string(Body.Member_) +
             (Body.Draining_ ? " draining" : " serving");
    }
    std::string operator()(const Record::Plan &Body) const {
      return std::to_string(Body.Moves_.size()) + " shards, " +
             std::to_string(Body.Seats_.size()) + " seats";
    }
    std::string operator()(const Record::Release &Body) const {
      return std::to_string(Body.Shards_.size()) + " shards of member " +
             std::to_string(Body.Owner_);
    }
    std::string operator()(const Record::SeatDone &Body) const {
      return "member " + std::to_string(Body.Member_) + " epoch " +
             std::to_string(Body.Epoch_);
    }
    std::string operator()(const Record::TakeOver &Body) const {
      return "from member " + std::to_string(Body.Victim_) + " to member " +
             std::to_string(Body.Successor_);
    }
    std::string operator()(const Record::Leave &Body) const {
      return "member " + std::to_string(Body.Member_);
    }
    std::string operator()(const Record::Evict &Body) const {
      return "member " + std::to_string(Body.Member_);
    }
    std::string operator()(const Record::Checkpoint &Body) const {
      return "up to " + std::to_string(Body.Table_.Next_);
    }
  };
  return std::visit(Describer(), Entry.Body_);
}

} // namespace

struct Daemon::Parts {
  Parts(const Clock &Time, DaemonSettings Settings, std::uint64_t Process);

  std::unique_ptr<HttpServer> makeInternalServer();
  bool hasOpenExchanges() const;
  OwnerReports ownerReports();
  ControlOutputs controlOutputs();
  ControlState initialState(std::uint64_t Process) const;
  void report(EventId Id, const Json &Details);
  void onView(std::shared_ptr<const RoutingView> View);
  void tick();
  void finishStop();

  const Clock &Time_;
  DaemonSettings Settings_;
  EventLog Events_;
  Metrics Numbers_;
  AuditTrail Trail_;
  IoLoop Loop_;
  ServingState Serving_;
  HttpClient UpstreamClient_;
  HttpClient PeerClient_;
  OwnerService Owner_;
  EntryService Entry_;
  PeerService Peer_;
  AdminService Admin_;
  HttpServer CallerServer_;
  std::unique_ptr<HttpServer> InternalServer_;
  HttpServer PeerServer_;
  HttpServer AdminServer_;
  HttpLog AppendLog_;
  HttpLog ReadLog_;
  std::shared_ptr<void> TickTimer_;
  std::shared_ptr<void> StopTimer_;
  std::shared_ptr<void> StopLimit_;

  bool Stopping_ = false;
  bool Left_ = false;
  // The threads start last; ~Daemon() ends them in the order of their calls.
  ControlLink Link_;
  LogAppender Appender_;
  std::unique_ptr<ControlThread> Control_;
  std::unique_ptr<LogReader> Reader_;
};

Daemon::Parts::Parts(const Clock &Time, DaemonSettings Settings,
                     std::uint64_t Process)
    : Time_(Time), Settings_(std::move(Settings)),
      Events_(Time, Settings_.Host_), Trail_(AuditEntries),
      UpstreamClient_(Loop_, Time, HttpClientOptions()),
      PeerClient_(Loop_, Time, HttpClientOptions()),
      Owner_(Loop_, Time, Serving_, UpstreamClient_, ownerOptions(Settings_),
             ownerReports()),
      Entry_(Loop_, Time, Serving_, Settings_, PeerClient_, Owner_, Numbers_,
             entryOptions(Settings_), Process,
             [this](EventId Id, const std::string &Peer) {
               report(Id, {{"peer", Peer}});
             }),
      Peer_(Time, Owner_, Process),
      Admin_(Time, Serving_, Settings_, Owner_, Trail_, Numbers_),
      CallerServer_(Loop_, serverOptions(Settings_, Settings_.CallersAddress_),
                    [this](HttpRequest Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
                      Entry_.handle(std::move(Request), Exchange, false);
                    }),
      InternalServer_(makeInternalServer()),
      PeerServer_(Loop_, serverOptions(Settings_, Settings_.PeersAddress_),
                  [this](HttpRequest Request,
                         const std::shared_ptr<HttpExchange> &Exchange) {
                    Peer_.handle(std::move(Request), Exchange);
                  }),
      AdminServer_(Loop_, serverOptions(Settings_, Settings_.AdminAddress_),
                   [this](const HttpRequest &Request,
                          const std::shared_ptr<HttpExchange> &Exchange) {
                     Admin_.handle(Request, *Exchange);
                   }),
      AppendLog_(Time, Settings_.LogAddress_, OwnershipStream),
      ReadLog_(Time, Settings_.LogAddress_, OwnershipStream),
      Link_(Settings_.ControlAddress_), Appender_(AppendLog_) {
  Control_ = std::make_unique<ControlThread>(
      Time_, initialState(Process), Link_, Appender_, controlOutputs());
  Link_.startReceiving([this](const char *Data, std::size_t Size) {
    std::optional<LeaseMessage> Message = decodeLeaseMessage(Data, Size);
    if (Message)
      Control_->message(std::move(*Message));
  });
  Reader_ = std::make_unique<LogReader>(
      ReadLog_,
      [this](LogBatch Batch) { Control_->logBatch(std::move(Batch)); },
      [this](bool Available) {
        report(Available ? EventId::LogRestored : EventId::LogUnavailable,
               Json::object());
      });
  tick();
}

std::unique_ptr<HttpServer> Daemon::Parts::makeInternalServer() {
  if (Settings_.InternalAddress_.empty())
    return nullptr;
  return std::make_unique<HttpServer>(
      Loop_, serverOptions(Settings_, Settings_.InternalAddress_),
      [this](HttpRequest Request,
             const std::shared_ptr<HttpExchange> &Exchange) {
        Entry_.handle(std::move(Request), Exchange, true);
      });
}

bool Daemon::Parts::hasOpenExchanges() const {
  return CallerServer_.openExchanges() > 0 || PeerServer_.openExchanges() > 0 ||
         (InternalServer_ && InternalServer_->openExchanges() > 0);
}

OwnerReports Daemon::Parts::ownerReports() {
  OwnerReports Reports;
  Reports.Drained_ = [this](const ShardRef &Ref) { Control_->drained(Ref); };
  Reports.Slots_ = [this](const std::map<std::string, std::uint32_t> &Slots) {
    Control_->slots(Slots);
  };
  Reports.Event_ = [this](EventId Id, const std::string &Service) {
    report(Id, {{"service", Service}});
  };
  return Reports;
}

ControlOutputs Daemon::Parts::controlOutputs() {
  ControlOutputs Outputs;
  Outputs.View_ = [this](std::shared_ptr<const RoutingView> View) {
    Loop_.post([this, View = std::move(View)] { onView(View); });
  };
  Outputs.LeaseUntil_ = [this](Instant Until) {
    Serving_.setLeaseUntil(Until);
  };
  Outputs.Event_ = [this](EventId Id, const std::string &Details) {
    report(Id, {{"subject", Details}});
  };
  Outputs.Effective_ = [this](Offset At, const Record &Entry) {
    Trail_.add({At, Entry.At_, Entry.By_, recordKind(Entry), describe(Entry),
                Entry.Why_});
  };
  Outputs.Left_ = [this] { Loop_.post([this] { Left_ = true; }); };
  return Outputs;
}

ControlState Daemon::Parts::initialState(std::uint64_t Process) const {
  ControlState State;
  State.Options_ = controlOptions(Settings_);
  State.Identity_.Host_ = Settings_.Host_;
  State.Identity_.Zone_ = Settings_.Zone_;
  State.Identity_.Nonce_ = Process;
  State.Identity_.PeerAddress_ = Settings_.PeersPublicAddress_.empty()
                                     ? PeerServer_.address()
                                     : Settings_.PeersPublicAddress_;
  State.Identity_.ControlAddress_ = Link_.address();
  return State;
}

void Daemon::Parts::report(EventId Id, const Json &Details) {
  Numbers_.countEvent(eventInfo(Id).Name_);
  Events_.write(Id, Details);
}

void Daemon::Parts::onView(std::shared_ptr<const RoutingView> View) {
  Serving_.setView(std::move(View));
  Owner_.onViewChanged();
  Entry_.onViewChanged();
}

void Daemon::Parts::tick() {
  TickTimer_ = Loop_.after(ServiceTick, [this] { tick(); });
  Owner_.tick();
  if (Left_ && !StopTimer_)
    StopTimer_ = Loop_.after(DrainGrace, [this] {
      CallerServer_.drain();
      if (InternalServer_)
        InternalServer_->drain();
      PeerServer_.drain();
      Stopping_ = true;
    });
  if (Stopping_)
    finishStop();
}

void Daemon::Parts::finishStop() {
  if (!hasOpenExchanges() && Owner_.openRequests() == 0)
    Loop_.stop();
}

Daemon::Daemon(const Clock &Time, DaemonSettings Settings,
               std::uint64_t Process)
    : Parts_(std::make_unique<Parts>(Time, std::move(Settings), Process)) {}

Daemon::~Daemon() {
  // Who calls the control thread ends before it, whom it calls after it.
  Parts_->Reader_.reset();
  Parts_->Link_.stopReceiving();
  Parts_->Control_.reset();
}

void Daemon::run() {
  Parts_->report(EventId::DaemonStarted,
                 {{"callers", Parts_->CallerServer_.address()},
                  {"peers", Parts_->PeerServer_.address()},
                  {"control", Parts_->Link_.address()},
                  {"admin", Parts_->AdminServer_.address()}});
  Parts_->Loop_.run();
  Parts_->report(EventId::DaemonStopped, Json::object());
}

void Daemon::stop() {
  Parts_->Loop_.post([this] {
    Parts_->report(EventId::DaemonStopping, Json::object());
    Parts_->Control_->leave();
    Parts_->StopLimit_ = Parts_->Loop_.after(Parts_->Settings_.StopTimeout_,
                                             [this] { Parts_->Loop_.stop(); });
  });
}

void Daemon::stopNow() { Parts_->Loop_.stop(); }

} // namespace lagoonhitch

#include "daemon/request_router.h"

#include "daemon/attempt_description.h"
#include "daemon/connection_description.h"
#include "daemon/crash_record.h"
#include "daemon/entry_request.h"
#include "daemon/forward_codec.h"
#include "daemon/own_response.h"
#include "daemon/request_description.h"
#include "daemon/request_preparation.h"
#include "daemon/upstream_gateway.h"
#include "net/http_client.h"
#include "net/http_exchange.h"
#include "net/io_loop.h"
#include "observe/metrics.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;

/// Retry-After while no configuration is known.
constexpr std::chrono::milliseconds NoManifestRetryAfter{500};
/// How long an unreachable host is not selected.
constexpr std::chrono::milliseconds AvoidUnreachableFor{700};
/// Time without a response after which the attempt's status is queried over a
/// new connection.
constexpr std::chrono::milliseconds StatusQueryDelay{500};

} // namespace

RequestRouter::RequestRouter(IoLoop &Loop, const Clock &Time, SiteState &Site,
                             HttpClient &PeerClient, UpstreamGateway &Gateway,
                             Metrics &DaemonMetrics, HeaderNames Names,
                             SharedRetryBudgetOptions RetryBudget,
                             RequestRouterConfig Config, EventCallback LogEvent)
    : Loop_(Loop), Time_(Time), Site_(Site), PeerClient_(PeerClient),
      Gateway_(Gateway), DaemonMetrics_(DaemonMetrics),
      Names_(std::move(Names)), RetryBudgetOptions_(RetryBudget),
      Config_(std::move(Config)), LogEvent_(std::move(LogEvent)),
      HostSelector_(Site, Gateway, DaemonMetrics, Config_.Host_, Config_.Zone_,
                    [this](EventId Event, const std::string &RequestId,
                           const std::string &Details) {
                      LogEvent_(Event, RequestId, Details, std::string());
                    }),
      Random_(Config_.Process_) {}

RequestRouter::~RequestRouter() = default;

void RequestRouter::handle(HttpRequest Source,
                           const std::shared_ptr<HttpExchange> &Exchange,
                           const CallerInterface &Interface) {
  const EntryRequestPtr Request = std::make_shared<EntryRequest>();
  Request->Number_ = ++LastNumber_;
  Request->ArrivedAt_ = Time_.now();
  Request->Exchange_ = Exchange;
  Request->Interface_ = &Interface;
  Request->Routed_ = Interface.route(Source, Random_());
  Request->GatewayRequest_.HttpRequest_ = std::move(Source);
  OpenRequests_[Request->Number_] = Request;
  switch (Request->Routed_.Kind_) {
  case RoutedRequest::Kind::NoConfiguration:
    reject(Request, "no configuration is known yet", NoManifestRetryAfter);
    return;
  case RoutedRequest::Kind::NoRoute:
    logEvent(EventId::RequestRefused, *Request,
             describeMissingRoute(*Request, Site_));
    reply(Request, errorResponse(NotFound, "no route takes this path"),
          Outcome::NotRun);
    return;
  case RoutedRequest::Kind::NoKey:
    reply(Request, errorResponse(BadRequest, "the request has no key"),
          Outcome::NotRun);
    return;
  case RoutedRequest::Kind::Found:
    break;
  }
  if (!Accepting_) {
    reject(Request, "this host stops", Duration::zero());
    return;
  }
  prepareRequest(*Request, Config_, Names_);
  joinParent(*Request);
  depositRetryTokens(RetryBudgets_[Request->GatewayRequest_.Service_],
                     RetryBudgetOptions_);
  Exchange->onAbandoned(
      [this, Request](ConnectionEnd End) { onAbandoned(Request, End); });
  Request->DeadlineTimer_ =
      Loop_.after(Request->GatewayRequest_.Deadline_ - Time_.now(),
                  [this, WeakRequest = std::weak_ptr<EntryRequest>(Request)] {
                    if (const EntryRequestPtr Alive = WeakRequest.lock())
                      onDeadlineExpired(Alive);
                  });
  startFirstAttempt(Request);
}

std::string RequestRouter::ownerOf(const EntryRequest &Request) const {
  const auto Table = Site_.Tables_.find(Request.GatewayRequest_.Service_);
  if (Table == Site_.Tables_.end())
    return {};
  const KeyRow *Row = findRow(Table->second, *Request.GatewayRequest_.Key_);
  return Row == nullptr ? std::string() : Row->Owner_.Host_;
}

std::optional<std::string>
RequestRouter::selectHost(const EntryRequest &Request,
                          const std::set<std::string> &Tried) {
  const Instant Now = Time_.now();
  if (Request.GatewayRequest_.Key_) {
    const std::string Owner = ownerOf(Request);
    const FleetMember *Member = findMember(Site_.Fleet_, Owner);
    const bool Usable = Owner == Config_.Host_ ||
                        (Member != nullptr && Now >= Member->AvoidUntil_ &&
                         !isAboutToEnd(*Member, Now));
    return Usable ? std::optional<std::string>(Owner) : std::nullopt;
  }
  return HostSelector_.select(Request, Tried, Random_(), Now);
}

/// Returns whether a host is available for the attempt after the current one.
bool RequestRouter::hasNextHost(const EntryRequest &Request) {
  std::set<std::string> Tried = Request.TriedHosts_;
  Tried.insert(Request.Host_);
  return selectHost(Request, Tried).has_value();
}

void RequestRouter::startAttempt(const EntryRequestPtr &Request) {
  if (Request->Done_)
    return;
  Request->WaitingForOwner_ = false;
  Request->Timer_.reset();
  const Instant Now = Time_.now();
  if (const std::optional<Duration> Left =
          quarantineLeft(Site_, Request->GatewayRequest_, Names_, Now)) {
    executeStep(Request, onQuarantined(Request->Plan_, *Left));
    return;
  }
  const std::optional<std::string> Host =
      selectHost(*Request, Request->TriedHosts_);
  if (Host) {
    sendToHost(Request, *Host);
    return;
  }
  executeStep(Request, onNoHost(Request->Plan_, Now));
}

void RequestRouter::onSiteChanged() {
  std::vector<EntryRequestPtr> Waiting;
  for (const auto &[Number, Request] : OpenRequests_)
    if (Request->WaitingForOwner_)
      Waiting.push_back(Request);
  for (const EntryRequestPtr &Request : Waiting)
    startAttempt(Request);
}

void RequestRouter::sendToHost(const EntryRequestPtr &Request,
                               const std::string &Host) {
  ++Request->Plan_.SentAttempts_;
  const std::uint32_t Attempt = ++Request->Attempt_;
  Request->SentAt_ = Time_.now();
  Request->StatusQueries_ = 0;
  Request->LatestLookup_.reset();
  Request->ReceivedBytes_ = 0;
  Request->Plan_.AnswerWaitEnd_.reset();
  Request->EndCause_ = nullptr;
  Request->Host_ = Host;
  Request->GatewayRequest_.Id_ = {Config_.Process_, Request->Number_, Attempt};
  FleetMember *Member = findMember(Site_.Fleet_, Host);
  if (Member != nullptr) {
    ++Member->InFlight_;
    ++Member->SentSinceLoadUpdate_;
  }
  if (Host != Config_.Host_) {
    sendToPeer(Request, *Member);
    return;
  }
  Gateway_.serve(Request->GatewayRequest_,
                 [this, Request, Attempt](GatewayResult Result) {
                   onGatewayResult(Request, Attempt, std::move(Result));
                 });
}

void RequestRouter::sendToPeer(const EntryRequestPtr &Request,
                               const FleetMember &Member) {
  const Instant Now = Time_.now();
  const std::uint32_t Attempt = Request->Attempt_;
  Request->PeerProcess_ = Member.Process_;
  Request->PeerAddress_ = Member.Record_.PeerAddress_;
  HttpCallOptions Call;
  Call.Timeout_ = Request->GatewayRequest_.Deadline_ - Now;
  Request->Call_ =
      PeerClient_.send(Request->PeerAddress_,
                       encodeForwardedRequest(Request->GatewayRequest_, Now),
                       Call, [this, Request, Attempt](HttpResult Result) {
                         onPeerResult(Request, Attempt, std::move(Result));
                       });
  // A dead connection may go unnoticed, so query the attempt's status over a
  // new one.
  scheduleStatusQuery(Request, StatusQueryDelay);
}

void RequestRouter::onPeerResult(const EntryRequestPtr &Request,
                                 std::uint32_t Attempt, HttpResult Result) {
  if (Request->Done_ || Attempt != Request->Attempt_)
    return;
  if (Result.Status_ == HttpCallStatus::Completed) {
    onGatewayResult(Request, Attempt,
                    decodeGatewayResult(std::move(Result.Response_)));
    return;
  }
  PeerClient_.closeIdle(Request->PeerAddress_);
  Request->EndCause_ = describeLostCall(Result.Status_);
  logEvent(EventId::LinkSettled, *Request,
           describeAttempt(*Request, Request->EndCause_, Time_.now()));
  if (Result.Status_ == HttpCallStatus::NotSent) {
    avoidHost(*Request);
    GatewayResult Unreached;
    Unreached.Outcome_ = Outcome::NotRun;
    Unreached.RejectReason_ = RejectReason::Unavailable;
    onGatewayResult(Request, Attempt, std::move(Unreached));
    return;
  }
  // The attempt may still run, and its answer can be looked up.
  Request->Call_.reset();
  queryStatus(Request, Attempt);
}

/// Makes further requests avoid the host of the current attempt, which can't be
/// reached.
void RequestRouter::avoidHost(const EntryRequest &Request) {
  if (FleetMember *Member = findMember(Site_.Fleet_, Request.Host_))
    Member->AvoidUntil_ = Time_.now() + AvoidUnreachableFor;
}

void RequestRouter::onGatewayResult(const EntryRequestPtr &Request,
                                    std::uint32_t Attempt,
                                    GatewayResult Result) {
  if (Request->Done_ || Attempt != Request->Attempt_)
    return;
  endAttempt(*Request);
  const Instant Now = Time_.now();
  HostSelector_.onResult(*Request, Result, Now);
  AttemptResult AttemptOutcome;
  AttemptOutcome.Outcome_ = Result.Outcome_;
  AttemptOutcome.Status_ = Result.Response_.Status_;
  AttemptOutcome.RejectReason_ = Result.RejectReason_;
  AttemptOutcome.RetryAfter_ = Result.RetryAfter_;
  AttemptOutcome.RejectedByUpstream_ = Result.RejectedByUpstream_;
  AttemptOutcome.OwnerChanged_ =
      Request->GatewayRequest_.Key_ && ownerOf(*Request) != Request->Host_;
  AttemptOutcome.OthersFull_ =
      Result.RejectReason_ == RejectReason::Overloaded &&
      roomFor(*Request).Full_;
  AttemptOutcome.Unresolved_ =
      Result.Outcome_ == Outcome::Unknown && isUnresolved(*Request);
  const PlanStep Step =
      onAttemptEnd(Request->Plan_, AttemptOutcome, spendRetryOf(*Request), Now);
  if (Step.Kind_ == PlanStep::Kind::Reply) {
    reply(Request, std::move(Result.Response_), Outcome::Ran);
    return;
  }
  if (Result.Outcome_ != Outcome::NotRun)
    Request->LastRun_ = describeRun(*Request, Result, Now);
  if (Result.Outcome_ == Outcome::Ran)
    Request->KeptFailure_ = std::move(Result.Response_);
  if (AttemptOutcome.Unresolved_ && Step.Kind_ == PlanStep::Kind::Send)
    Request->Unresolved_.push_back({Request->GatewayRequest_.Id_,
                                    Request->Host_, Request->PeerProcess_,
                                    Request->PeerAddress_, Request->SentAt_});
  Request->LastRetryAfter_ = Result.RetryAfter_;
  executeStep(Request, Step);
}

void RequestRouter::executeStep(const EntryRequestPtr &Request,
                                const PlanStep &Step) {
  switch (Step.Kind_) {
  case PlanStep::Kind::Send:
    if (Step.OtherHost_)
      Request->TriedHosts_.insert(Request->Host_);
    if (Step.OtherHost_ && !selectHost(*Request, Request->TriedHosts_)) {
      executeStep(Request,
                  onNoOtherHost(Request->Plan_, Request->LastRetryAfter_));
      return;
    }
    startAttempt(Request);
    return;
  case PlanStep::Kind::WaitForOwner:
    Request->WaitingForOwner_ = true;
    Request->Timer_ = Loop_.after(Step.RetryAfter_,
                                  [this, Request] { startAttempt(Request); });
    return;
  case PlanStep::Kind::LookUpAgain:
    lookUpAgain(Request);
    return;
  case PlanStep::Kind::Reject:
    reject(Request, Step.Reason_, Step.RetryAfter_);
    return;
  case PlanStep::Kind::Fail:
    fail(Request, Step.Status_, Step.Reason_);
    return;
  case PlanStep::Kind::ReplyWithFailure:
    reply(Request, std::move(Request->KeptFailure_), Outcome::Ran);
    return;
  case PlanStep::Kind::Reply:
    return;
  }
}

SpendRetry RequestRouter::spendRetryOf(const EntryRequest &Request) {
  return [this, &Service = Request.GatewayRequest_.Service_](RetryCause Cause) {
    return takeRetryToken(Service, Cause);
  };
}

bool RequestRouter::takeRetryToken(const std::string &Service,
                                   RetryCause Cause) {
  const std::size_t Daemons =
      std::max<std::size_t>(Site_.Fleet_.Members_.size(), 1);
  if (Cause == RetryCause::Rerun)
    return tryWithdrawRerun(RetryBudgets_, RetryBudgetOptions_, Daemons,
                            Time_.now());
  return tryWithdrawRetry(RetryBudgets_[Service], RetryBudgetOptions_, Daemons,
                          Time_.now());
}

void RequestRouter::onDeadlineExpired(const EntryRequestPtr &Request) {
  if (Request->Done_)
    return;
  const bool NotRun = giveUpAttempt(*Request);
  executeStep(Request, onDeadline(Request->Plan_, NotRun));
}

void RequestRouter::endOpenRequests() {
  const std::map<std::uint64_t, EntryRequestPtr> Open = OpenRequests_;
  for (const auto &[Number, Request] : Open) {
    if (Request->Done_)
      continue;
    const bool NotRun = giveUpAttempt(*Request);
    executeStep(Request, onShutdown(Request->Plan_, NotRun));
  }
}

void RequestRouter::onAbandoned(const EntryRequestPtr &Request,
                                ConnectionEnd End) {
  if (Request->Done_)
    return;
  Request->Done_ = true;
  Request->Timer_.reset();
  Request->DeadlineTimer_.reset();
  leaveParent(*Request, Outcome::Unknown);
  if (isAttemptOpen(*Request))
    logEvent(EventId::CallerLeft, *Request,
             absl::StrCat(
                 describeAttempt(*Request, describeCallerEnd(End), Time_.now()),
                 Request->LastRun_));
  if (Request->Host_ == Config_.Host_)
    Gateway_.cancel(Request->GatewayRequest_.Id_, "its caller left");
  cancelAttempt(*Request);
  OpenRequests_.erase(Request->Number_);
}

void RequestRouter::logEvent(EventId Event, const EntryRequest &Request,
                             const std::string &Details) {
  const RoutedRequest &Routed = Request.Routed_;
  const bool IsCall = Request.GatewayRequest_.Chained_;
  LogEvent_(Event, Routed.CallerRequestId_, Details,
            IsCall ? Routed.ParentRequestId_ : std::string());
}

void RequestRouter::reject(const EntryRequestPtr &Request,
                           const std::string &Reason, Duration RetryAfter) {
  logEvent(EventId::RequestRefused, *Request,
           describeDecision(*Request, Reason, Site_, Time_.now()));
  reply(Request, rejectionResponse(Reason, RetryAfter, Random_()),
        Outcome::NotRun);
}

void RequestRouter::fail(const EntryRequestPtr &Request, unsigned Status,
                         const std::string &Reason) {
  const std::string Decision =
      describeDecision(*Request, Reason, Site_, Time_.now());
  logEvent(EventId::RequestFailed, *Request,
           Request->Attempt_ == 0
               ? Decision
               : describeAttempt(*Request, Decision, Time_.now()));
  reply(Request, errorResponse(Status, Reason), Outcome::Unknown);
}

void RequestRouter::reply(const EntryRequestPtr &Request, HttpResponse Response,
                          Outcome FinalOutcome) {
  if (Request->Done_)
    return;
  Request->Done_ = true;
  Request->Timer_.reset();
  Request->DeadlineTimer_.reset();
  OpenRequests_.erase(Request->Number_);
  leaveParent(*Request, FinalOutcome);
  DaemonMetrics_.countResponse(Request->GatewayRequest_.Service_, FinalOutcome,
                               Time_.now() - Request->ArrivedAt_);
  Request->Interface_->addResponseHeaders(Response, Request->Routed_,
                                          FinalOutcome);
  Request->Exchange_->respond(std::move(Response));
}

} // namespace lagoonhitch

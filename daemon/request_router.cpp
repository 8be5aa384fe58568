#include "daemon/request_router.h"

#include "daemon/forward_codec.h"
#include "daemon/upstream_gateway.h"
#include "net/http_client.h"
#include "net/http_exchange.h"
#include "net/io_loop.h"
#include "observe/metrics.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;

constexpr std::chrono::milliseconds NoManifestPause{500};
constexpr std::chrono::milliseconds LeastRetryAfter{50};
/// How long a host is passed over that could not be reached.
constexpr std::chrono::milliseconds AvoidFor{700};
constexpr std::chrono::milliseconds AvoidLeaving{250};
constexpr std::chrono::milliseconds FateTimeout{400};
constexpr std::chrono::milliseconds FatePause{250};
/// Silence after which a door is asked over a new connection.
constexpr std::chrono::milliseconds SilenceLimit{500};

AttemptLookup lookOf(HttpStatus Status, const FateReply &Reply) {
  if (Status == HttpStatus::NotSent)
    return AttemptLookup::Unreachable;
  if (Status != HttpStatus::Answered)
    return AttemptLookup::TimedOut;
  switch (Reply.Kind_) {
  case FateReply::Kind::Running:
    return AttemptLookup::Running;
  case FateReply::Kind::Settled:
    return AttemptLookup::Ended;
  case FateReply::Kind::Unknown:
    return AttemptLookup::Unknown;
  }
  return AttemptLookup::Unknown;
}

} // namespace

struct RequestRouter::Open {
  std::uint64_t Number_ = 0;
  const CallerInterface *Callers_ = nullptr;
  RoutedRequest Routed_;
  DoorRequest Door_;
  std::shared_ptr<HttpExchange> Exchange_;
  Instant ArrivedAt_;
  RequestPlan Plan_;
  std::set<std::string> Tried_;
  std::uint32_t Attempt_ = 0;
  /// The host that the present attempt was sent to; empty between attempts.
  std::string Host_;
  std::uint64_t PeerProcess_ = 0;
  std::string PeerAddress_;
  bool WaitsForOwner_ = false;
  /// When the last door that refused it expects room.
  Duration LastRetryAfter_{};
  bool Done_ = false;
  std::shared_ptr<void> Call_;
  /// The question what became of the present attempt.
  std::shared_ptr<void> Ask_;
  std::shared_ptr<void> Timer_;
  std::shared_ptr<void> DeadlineTimer_;
};

RequestRouter::RequestRouter(IoLoop &Loop, const Clock &Time, SiteState &Site,
                             HttpClient &Peers, UpstreamDoor &Door,
                             Metrics &Numbers, HeaderNames Names,
                             SharedRetryBudgetOptions Budget, RouterPlace Place,
                             Report Tell)
    : Loop_(Loop), Time_(Time), Site_(Site), Peers_(Peers), Door_(Door),
      Numbers_(Numbers), Names_(std::move(Names)), BudgetOptions_(Budget),
      Place_(std::move(Place)), Tell_(std::move(Tell)),
      Random_(Place_.Process_) {}

RequestRouter::~RequestRouter() = default;

void RequestRouter::handle(HttpRequest Source,
                           const std::shared_ptr<HttpExchange> &Exchange,
                           const CallerInterface &Callers) {
  const OpenPtr Request = std::make_shared<Open>();
  Request->Number_ = ++NextNumber_;
  Request->ArrivedAt_ = Time_.now();
  Request->Exchange_ = Exchange;
  Request->Callers_ = &Callers;
  Request->Routed_ = Callers.route(Source, Random_());
  Request->Door_.Request_ = std::move(Source);
  Open_[Request->Number_] = Request;
  switch (Request->Routed_.Kind_) {
  case RoutedRequest::Kind::NoConfiguration:
    refuse(Request, "no configuration is known yet", NoManifestPause);
    return;
  case RoutedRequest::Kind::NoRoute:
    reply(Request, ownAnswer(NotFound, "no route takes this path"),
          Outcome::NotRun);
    return;
  case RoutedRequest::Kind::NoKey:
    reply(Request, ownAnswer(BadRequest, "the request has no key"),
          Outcome::NotRun);
    return;
  case RoutedRequest::Kind::Found:
    break;
  }
  prepare(*Request);
  depositRetryTokens(Budgets_[Request->Door_.Service_], BudgetOptions_);
  Exchange->onAbandoned([this, Request] { onAbandoned(Request); });
  Request->DeadlineTimer_ =
      Loop_.after(Request->Door_.Deadline_ - Time_.now(),
                  [this, Weak = std::weak_ptr<Open>(Request)] {
                    if (const OpenPtr Alive = Weak.lock())
                      expire(Alive);
                  });
  attempt(Request);
}

void RequestRouter::prepare(Open &Request) {
  DoorRequest &Door = Request.Door_;
  const RoutedRequest &Routed = Request.Routed_;
  Door.Service_ = Routed.Service_;
  Door.Key_ = Routed.Key_;
  Door.Rank_ = Routed.Rank_;
  Door.Idempotent_ = Routed.Idempotent_;
  Door.Deadline_ = Request.ArrivedAt_ + Routed.Limit_;
  Door.Objective_ = Routed.Objective_;
  Door.ObjectiveAt_ = Request.ArrivedAt_ + Routed.Objective_;
  Request.Plan_.Idempotent_ = Routed.Idempotent_;
  Request.Plan_.Keyed_ = Routed.Key_.has_value();
  Request.Plan_.ArrivedAt_ = Request.ArrivedAt_;
  Request.Plan_.Deadline_ = Door.Deadline_;
  Request.Plan_.Objective_ = Routed.Objective_;
  Request.Plan_.MaxRuns_ = Routed.Attempts_;
  std::vector<HttpHeader> &Headers = Door.Request_.Headers_;
  std::erase_if(Headers, [this](const HttpHeader &Header) {
    return (isHopByHop(Header.Name_) &&
            !absl::EqualsIgnoreCase(Header.Name_, "Host")) ||
           absl::StartsWithIgnoreCase(Header.Name_, OwnHeaderPrefix) ||
           absl::EqualsIgnoreCase(Header.Name_, Names_.CallerService_) ||
           absl::EqualsIgnoreCase(Header.Name_, Names_.Target_);
  });
  Headers.push_back({Names_.CallerService_, Place_.Service_});
  if (Routed.Key_) {
    eraseHeader(Headers, Names_.Key_);
    Headers.push_back({Names_.Key_, absl::StrCat(*Routed.Key_)});
  }
  // Upstreams echo the id; where the caller gave none, this one tells answers
  // apart.
  if (findHeader(Headers, Names_.RequestId_) == nullptr)
    Headers.push_back(
        {Names_.RequestId_,
         absl::StrCat(absl::Hex(Place_.Process_), "-", Request.Number_)});
}

std::string RequestRouter::ownerOf(const Open &Request) const {
  const auto Table = Site_.Tables_.find(Request.Door_.Service_);
  if (Table == Site_.Tables_.end())
    return {};
  const KeyRow *Row = findRow(Table->second, *Request.Door_.Key_);
  return Row == nullptr ? std::string() : Row->Owner_.Host_;
}

std::optional<std::string> RequestRouter::hostFor(const Open &Request) {
  const Instant Now = Time_.now();
  if (Request.Door_.Key_) {
    const std::string Owner = ownerOf(Request);
    const FleetMember *Member = findMember(Site_.Fleet_, Owner);
    const bool Usable = Owner == Place_.Host_ ||
                        (Member != nullptr && Now >= Member->AvoidUntil_);
    return Usable ? std::optional<std::string>(Owner) : std::nullopt;
  }
  // No digest is as new as what the own door knows.
  if (FleetMember *Own = findMember(Site_.Fleet_, Place_.Host_))
    applyLoadReport(*Own, Door_.load(), Now);
  HostChoice Choice;
  Choice.Service_ = Request.Door_.Service_;
  Choice.OwnHost_ = Place_.Host_;
  Choice.OwnZone_ = Place_.Zone_;
  Choice.Tried_ = Request.Tried_;
  return chooseHost(Site_.Fleet_, Choice, Choice_, Random_(), Now);
}

void RequestRouter::attempt(const OpenPtr &Request) {
  if (Request->Done_)
    return;
  Request->WaitsForOwner_ = false;
  Request->Timer_.reset();
  const std::optional<std::string> Host = hostFor(*Request);
  if (Host) {
    send(Request, *Host);
    return;
  }
  carryOut(Request, onNoHost(Request->Plan_, Time_.now()));
}

void RequestRouter::onSiteChanged() {
  std::vector<OpenPtr> Waiting;
  for (const auto &[Number, Request] : Open_)
    if (Request->WaitsForOwner_)
      Waiting.push_back(Request);
  for (const OpenPtr &Request : Waiting)
    attempt(Request);
}

void RequestRouter::send(const OpenPtr &Request, const std::string &Host) {
  ++Request->Plan_.SentAttempts_;
  Request->Plan_.LookupTimeouts_ = 0;
  const std::uint32_t Attempt = ++Request->Attempt_;
  Request->Host_ = Host;
  Request->Door_.Id_ = {Place_.Process_, Request->Number_, Attempt};
  FleetMember *Member = findMember(Site_.Fleet_, Host);
  if (Member != nullptr) {
    ++Member->InFlight_;
    ++Member->SentSinceLoadUpdate_;
  }
  if (Host != Place_.Host_) {
    sendToPeer(Request, *Member);
    return;
  }
  Door_.serve(Request->Door_, [this, Request, Attempt](DoorAnswer Answer) {
    onAnswer(Request, Attempt, std::move(Answer));
  });
}

void RequestRouter::sendToPeer(const OpenPtr &Request,
                               const FleetMember &Member) {
  const Instant Now = Time_.now();
  const std::uint32_t Attempt = Request->Attempt_;
  Request->PeerProcess_ = Member.Process_;
  Request->PeerAddress_ = Member.Record_.PeerAddress_;
  HttpCallOptions Call;
  Call.Timeout_ = Request->Door_.Deadline_ - Now;
  Request->Call_ =
      Peers_.send(Request->PeerAddress_, encodeForward(Request->Door_, Now),
                  Call, [this, Request, Attempt](HttpResult Result) {
                    onPeerResult(Request, Attempt, std::move(Result));
                  });
  // The connection may be dead without a sign.
  Request->Timer_ = Loop_.after(
      SilenceLimit, [this, Request, Attempt] { askFate(Request, Attempt); });
}

void RequestRouter::onPeerResult(const OpenPtr &Request, std::uint32_t Attempt,
                                 HttpResult Result) {
  if (Request->Done_ || Attempt != Request->Attempt_)
    return;
  if (Result.Status_ == HttpStatus::Answered) {
    onAnswer(Request, Attempt, decodeDoorAnswer(std::move(Result.Response_)));
    return;
  }
  if (FleetMember *Member = findMember(Site_.Fleet_, Request->Host_))
    Member->AvoidUntil_ = Time_.now() + AvoidFor;
  Peers_.closeIdle(Request->PeerAddress_);
  Tell_(EventId::LinkSettled, Request->Routed_.CallerId_, Request->Host_);
  if (Result.Status_ == HttpStatus::NotSent) {
    DoorAnswer Unreached;
    Unreached.Outcome_ = Outcome::NotRun;
    Unreached.Refusal_ = RejectReason::Unavailable;
    onAnswer(Request, Attempt, std::move(Unreached));
    return;
  }
  if (Request->Door_.Idempotent_) {
    onAnswer(Request, Attempt, DoorAnswer());
    return;
  }
  Request->Call_.reset();
  askFate(Request, Attempt);
}

void RequestRouter::askFate(const OpenPtr &Request, std::uint32_t Attempt) {
  const bool Current = !Request->Done_ && Attempt == Request->Attempt_;
  if (!Current || Request->Ask_)
    return;
  const Duration Left = Request->Door_.Deadline_ - Time_.now();
  FateQuestion Question;
  Question.Id_ = Request->Door_.Id_;
  Question.Process_ = Request->PeerProcess_;
  Question.StartWithin_ = toMillis(Left);
  HttpCallOptions Call;
  Call.Timeout_ = FateTimeout;
  Call.FreshConnection_ = true;
  Request->Ask_ =
      Peers_.send(Request->PeerAddress_, encodeFateQuestion(Question), Call,
                  [this, Request, Attempt](HttpResult Result) {
                    onFate(Request, Attempt, std::move(Result));
                  });
}

void RequestRouter::onFate(const OpenPtr &Request, std::uint32_t Attempt,
                           HttpResult Result) {
  if (Request->Done_ || Attempt != Request->Attempt_)
    return;
  Request->Ask_.reset();
  FateReply Reply;
  const HttpStatus Status = Result.Status_;
  if (Status == HttpStatus::Answered)
    Reply = decodeFateReply(std::move(Result.Response_));
  if (shouldStopWaiting(Request->Plan_, lookOf(Status, Reply))) {
    Peers_.cancel(Request->Call_);
    Peers_.closeIdle(Request->PeerAddress_);
    Tell_(EventId::LinkSettled, Request->Routed_.CallerId_, Request->Host_);
    // Doors keep no record of attempts that may be run again.
    const bool Recorded =
        Reply.Kind_ == FateReply::Kind::Settled && !Request->Door_.Idempotent_;
    onAnswer(Request, Attempt,
             Recorded ? std::move(Reply.Answer_) : DoorAnswer());
    return;
  }
  // Still running, or out of reach for the moment.
  Request->Timer_ = Loop_.after(
      FatePause, [this, Request, Attempt] { askFate(Request, Attempt); });
}

void RequestRouter::noteAnswer(FleetMember &Member, const DoorAnswer &Answer,
                               Instant Now) {
  if (Answer.Refusal_ == RejectReason::Unavailable)
    Member.AvoidUntil_ = std::max(Member.AvoidUntil_, Now + AvoidLeaving);
  if (Answer.Load_)
    applyLoadReport(Member, *Answer.Load_, Now);
}

void RequestRouter::endAttempt(Open &Request) {
  FleetMember *Member = findMember(Site_.Fleet_, Request.Host_);
  if (Member != nullptr && Member->InFlight_ > 0)
    --Member->InFlight_;
  Peers_.cancel(Request.Ask_);
  Request.Ask_.reset();
  Request.Timer_.reset();
  Request.Call_.reset();
}

void RequestRouter::onAnswer(const OpenPtr &Request, std::uint32_t Attempt,
                             DoorAnswer Answer) {
  if (Request->Done_ || Attempt != Request->Attempt_)
    return;
  endAttempt(*Request);
  const Instant Now = Time_.now();
  if (FleetMember *Member = findMember(Site_.Fleet_, Request->Host_))
    noteAnswer(*Member, Answer, Now);
  AttemptResult End;
  End.Outcome_ = Answer.Outcome_;
  End.Status_ = Answer.Response_.Status_;
  End.RejectReason_ = Answer.Refusal_;
  End.RetryAfter_ = Answer.RetryAfter_;
  End.RejectedByUpstream_ = Answer.Arrived_;
  End.OwnerChanged_ =
      Request->Door_.Key_ && ownerOf(*Request) != Request->Host_;
  const PlanStep Step = onAttemptEnd(
      Request->Plan_, End,
      [this, &Request] { return spendRetry(Request->Door_.Service_); }, Now);
  if (Step.Kind_ == PlanStep::Kind::Reply) {
    reply(Request, std::move(Answer.Response_), Outcome::Ran);
    return;
  }
  Request->LastRetryAfter_ = Answer.RetryAfter_;
  carryOut(Request, Step);
}

void RequestRouter::carryOut(const OpenPtr &Request, const PlanStep &Step) {
  switch (Step.Kind_) {
  case PlanStep::Kind::Send:
    if (Step.OtherHost_)
      Request->Tried_.insert(Request->Host_);
    if (Step.OtherHost_ && !hostFor(*Request)) {
      refuse(Request, "no upstream has room in time", Request->LastRetryAfter_);
      return;
    }
    attempt(Request);
    return;
  case PlanStep::Kind::WaitForOwner:
    Request->WaitsForOwner_ = true;
    Request->Timer_ =
        Loop_.after(Step.RetryAfter_, [this, Request] { attempt(Request); });
    return;
  case PlanStep::Kind::Reject:
    refuse(Request, Step.Reason_, Step.RetryAfter_);
    return;
  case PlanStep::Kind::Fail:
    fail(Request, Step.Status_, Step.Reason_);
    return;
  case PlanStep::Kind::Reply:
    return;
  }
}

bool RequestRouter::spendRetry(const std::string &Service) {
  const std::size_t Daemons =
      std::max<std::size_t>(Site_.Fleet_.Members_.size(), 1);
  return tryWithdrawRetry(Budgets_[Service], BudgetOptions_, Daemons,
                          Time_.now());
}

void RequestRouter::cancelAttempt(Open &Request) {
  Peers_.cancel(Request.Call_);
  endAttempt(Request);
}

void RequestRouter::expire(const OpenPtr &Request) {
  if (Request->Done_)
    return;
  const bool Local = Request->Host_ == Place_.Host_;
  const bool Waits = Request->Attempt_ == 0 || Request->WaitsForOwner_;
  const bool NotRun = Waits || (Local && Door_.cancel(Request->Door_.Id_));
  if (!Waits)
    cancelAttempt(*Request);
  carryOut(Request, onDeadline(Request->Plan_, NotRun));
}

void RequestRouter::onAbandoned(const OpenPtr &Request) {
  if (Request->Done_)
    return;
  Request->Done_ = true;
  Request->Timer_.reset();
  Request->DeadlineTimer_.reset();
  if (Request->Host_ == Place_.Host_)
    Door_.cancel(Request->Door_.Id_);
  // The door notices the closed connection.
  cancelAttempt(*Request);
  Open_.erase(Request->Number_);
}

HttpResponse RequestRouter::ownAnswer(unsigned Status, const std::string &Why) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = absl::StrCat("{\"error\":\"", Why, "\"}");
  return Response;
}

/// What was decided about a request, and on what it rested.
std::string RequestRouter::explain(const Open &Request,
                                   const std::string &Why) const {
  const Instant Now = Time_.now();
  std::string Text = absl::StrCat(
      Why, "; ", Request.Door_.Service_, ", offer ",
      Request.Plan_.SentAttempts_, ", runs ", Request.Plan_.Runs_, ", after ",
      toMillis(Now - Request.ArrivedAt_).count(), " ms");
  if (Request.Door_.Key_)
    absl::StrAppend(&Text, ", key ", *Request.Door_.Key_);
  if (Site_.Manifest_ != nullptr)
    absl::StrAppend(&Text, ", configuration ", Site_.Manifest_->Version_);
  const FleetMember *Member = findMember(Site_.Fleet_, Request.Host_);
  if (Member == nullptr || Member->LastDigestAt_ == Instant::min())
    return Text;
  absl::StrAppend(&Text, "; last at ", Request.Host_, ", heard ",
                  toMillis(Now - Member->LastDigestAt_).count(), " ms ago, ",
                  Member->Digest_.Running_, " running and ",
                  Member->Digest_.Queued_, " waiting for ",
                  Member->Digest_.Slots_, " slots");
  return Text;
}

void RequestRouter::refuse(const OpenPtr &Request, const std::string &Why,
                           Duration RetryAfter) {
  // A refusal promises that nothing was run, which an earlier attempt may have.
  if (Request->Plan_.Runs_ > 0) {
    fail(Request, BadGateway, Why);
    return;
  }
  HttpResponse Response = ownAnswer(Unavailable, Why);
  // Spread over half as much again, so that those refused together don't come
  // back together.
  constexpr std::uint64_t Steps = 1024;
  const double Spread =
      1 + 0.5 * static_cast<double>(Random_() % Steps) / Steps;
  const Duration Pause = std::max<Duration>(RetryAfter, LeastRetryAfter);
  Response.Headers_.push_back(
      {"Retry-After",
       absl::StrFormat("%.3f",
                       std::chrono::duration<double>(Pause).count() * Spread)});
  Tell_(EventId::RequestRefused, Request->Routed_.CallerId_,
        explain(*Request, Why));
  reply(Request, std::move(Response), Outcome::NotRun);
}

void RequestRouter::fail(const OpenPtr &Request, unsigned Status,
                         const std::string &Why) {
  Tell_(EventId::RequestFailed, Request->Routed_.CallerId_,
        explain(*Request, Why));
  reply(Request, ownAnswer(Status, Why), Outcome::Unknown);
}

void RequestRouter::reply(const OpenPtr &Request, HttpResponse Response,
                          Outcome Known) {
  if (Request->Done_)
    return;
  Request->Done_ = true;
  Request->Timer_.reset();
  Request->DeadlineTimer_.reset();
  Open_.erase(Request->Number_);
  Numbers_.countAnswer(Request->Door_.Service_, Known,
                       Time_.now() - Request->ArrivedAt_);
  Request->Callers_->markAnswer(Response, Request->Routed_, Known);
  Request->Exchange_->respond(std::move(Response));
}

} // namespace lagoonhitch

#include "daemon/owner_service.h"

#include "daemon/headers.h"
#include "net/io_loop.h"
#include "routing/entry_request.h"

#include <charconv>
#include <utility>

namespace lagoonhitch {

namespace {

AnswerPtr refuse(RefusalReason Reason, unsigned Status,
                 const std::string &Message, const std::string &Remedy) {
  Answer Refusal =
      *makeRefusal(Outcome::NotRun, Status, "refused", Message, Remedy);
  Refusal.Headers_.emplace_back(RefusalHeader, refusalName(Reason));
  return std::make_shared<const Answer>(std::move(Refusal));
}

AnswerPtr refuseNotOwner() {
  return refuse(RefusalReason::NotOwner, 503,
                "this daemon does not own the key now",
                "send the request again to any daemon");
}

AnswerPtr refuseTooLate() {
  return refuse(RefusalReason::TooLate, 504,
                "the request came too late to be started",
                "send the request again with a later deadline");
}

AnswerPtr refuseOverloaded(const Admission &State) {
  constexpr std::chrono::milliseconds OneSecond{1000};
  const std::chrono::milliseconds Wait = expectedWait(State);
  Answer Refusal = *refuse(RefusalReason::Overloaded, 503,
                           "the upstream can't bear more requests now",
                           "send the request again after Retry-After");
  const std::int64_t Seconds =
      (Wait + OneSecond - Wait % OneSecond) / OneSecond;
  Refusal.Headers_.emplace_back("Retry-After", std::to_string(Seconds));
  Refusal.Headers_.emplace_back("Lagoonhitch-Retry-After-Ms",
                                std::to_string(Wait.count()));
  return std::make_shared<const Answer>(std::move(Refusal));
}

AnswerPtr refuseUncertain() {
  return makeRefusal(Outcome::Unknown, 409, "refused",
                     "a request with this Idempotency-Key may have run before "
                     "the key changed its owner",
                     "send Lagoonhitch-Attempt: 1 with first attempts, or use "
                     "time-ordered keys (UUID version 7)");
}

AnswerPtr unknownEnd(unsigned Status, const std::string &Message) {
  return makeRefusal(Outcome::Unknown, Status, "upstream", Message,
                     "find out whether the request was executed before "
                     "sending it again");
}

/// An upstream says itself if it has not executed a request.
AnswerPtr answerOf(HttpResponse Response) {
  const std::string *Run = findHeader(Response.Headers_, RunHeader);
  const bool NotRun = Run != nullptr && *Run == "no";
  Answer Result;
  Result.Outcome_ = NotRun ? Outcome::NotRun : Outcome::Ran;
  Result.Status_ = Response.Status_;
  if (NotRun) {
    const RefusalReason Reason = Response.Status_ == 409
                                     ? RefusalReason::NotOwner
                                     : RefusalReason::Overloaded;
    Result.Headers_.emplace_back(RefusalHeader, refusalName(Reason));
  }
  for (HttpHeader &Header : Response.Headers_)
    if (!isHopByHop(Header.Name_))
      Result.Headers_.emplace_back(std::move(Header.Name_),
                                   std::move(Header.Value_));
  Result.Body_ = std::move(Response.Body_);
  return std::make_shared<const Answer>(std::move(Result));
}

AnswerPtr answerOf(HttpResult Result, const Admission &State) {
  switch (Result.Status_) {
  case HttpStatus::Answered:
    return answerOf(std::move(Result.Response_));
  case HttpStatus::NotSent:
    return refuseOverloaded(State);
  case HttpStatus::Broken:
    return unknownEnd(502, "the upstream's connection broke");
  case HttpStatus::TimedOut:
    return unknownEnd(504, "the upstream did not answer in time");
  }
  return unknownEnd(502, "the upstream's connection broke");
}

UpstreamAnswer judge(const HttpResult &Result) {
  if (Result.Status_ != HttpStatus::Answered)
    return UpstreamAnswer::Failed;
  return Result.Response_.Status_ == 503 ? UpstreamAnswer::Shed
                                         : UpstreamAnswer::Good;
}

DedupClaim claimOf(const ForwardedRequest &Forward, const std::string &Key) {
  DedupClaim Claim;
  Claim.Key_ = Forward.Service_ + "\n" + Key;
  Claim.MadeAt_ = timeOfUuid7(Key);
  const std::string *Text =
      findHeader(Forward.Request_.Headers_, CallerAttemptHeader);
  std::uint32_t Attempt = 0;
  if (Text != nullptr &&
      std::from_chars(Text->data(), Text->data() + Text->size(), Attempt).ec ==
          std::errc())
    Claim.Attempt_ = Attempt;
  return Claim;
}

ShardKey shardOf(const ForwardedRequest &Forward) {
  return {Forward.Service_, Forward.Shard_};
}

} // namespace

OwnerService::OwnerService(IoLoop &Loop, const Clock &Time,
                           const ServingState &Serving, HttpClient &Upstreams,
                           OwnerOptions Options, OwnerReports Reports)
    : Loop_(Loop), Time_(Time), Serving_(Serving), Upstreams_(Upstreams),
      Options_(Options), Reports_(std::move(Reports)) {}

bool OwnerService::isFenced(const ForwardedRequest &Forward) const {
  if (!Forward.Owned_)
    return false;
  if (!servedToken(Serving_.view(), Forward.Service_, Forward.Shard_))
    return true;
  return Time_.now() >= Serving_.leaseUntil();
}

void OwnerService::serve(ForwardedRequest Forward, Done Callback) {
  const Instant Now = Time_.now();
  if (!beginAttempt(Fates_, Forward.Id_, Forward.StartBy_, Now)) {
    Callback(refuseTooLate());
    return;
  }
  const RequestId Id = Forward.Id_;
  const Instant StartBy = Forward.StartBy_;
  Done Recorded = [this, Id, StartBy,
                   Callback = std::move(Callback)](AnswerPtr Result) {
    finishAttempt(Fates_, Id, StartBy, Result, Options_.Fates_, Time_.now());
    Callback(std::move(Result));
  };
  if (isFenced(Forward)) {
    Recorded(refuseNotOwner());
    return;
  }
  std::string DedupKey;
  if (Forward.Owned_ && handleDuplicate(Forward, Recorded, DedupKey))
    return;
  admitRequest(std::move(Forward), std::move(Recorded), std::move(DedupKey));
}

bool OwnerService::handleDuplicate(const ForwardedRequest &Forward,
                                   Done &Callback, std::string &DedupKey) {
  const std::string *Key =
      findHeader(Forward.Request_.Headers_, IdempotencyHeader);
  if (Key == nullptr || Forward.Repeatable_)
    return false;
  const DedupClaim Claim = claimOf(Forward, *Key);
  switch (beginKeyed(Dedup_, Claim, historyOf(Forward), Forward.Id_,
                     Options_.Dedup_, Time_.now())) {
  case DedupDecision::Run:
    DedupKey = Claim.Key_;
    return false;
  case DedupDecision::Wait:
    DedupWaiters_[Claim.Key_].emplace_back(Forward, std::move(Callback));
    return true;
  case DedupDecision::Replay:
    Callback(findKeyed(Dedup_, Claim.Key_)->Answer_);
    return true;
  case DedupDecision::Uncertain:
    Callback(refuseUncertain());
    return true;
  case DedupDecision::Full:
    Callback(refuse(RefusalReason::Overloaded, 503,
                    "no more Idempotency-Keys can be remembered now",
                    "send the request again later"));
    return true;
  }
  return false;
}

ShardHistory OwnerService::historyOf(const ForwardedRequest &Forward) const {
  const std::map<ShardKey, Dated>::const_iterator Found =
      Owned_.find(shardOf(Forward));
  return Found == Owned_.end() ? ShardHistory() : Found->second.History_;
}

void OwnerService::admitRequest(ForwardedRequest Forward, Done Callback,
                                std::string DedupKey) {
  const Instant Now = Time_.now();
  const std::string Service = Forward.Service_;
  const Ticket Id = ++NextTicket_;
  Admission &State = Admissions_[Service];
  const Instant Deadline = Forward.Deadline_;
  const Priority Class = Forward.Priority_;
  Open Entry;
  Entry.Forward_ = std::move(Forward);
  Entry.Callback_ = std::move(Callback);
  Entry.DedupKey_ = std::move(DedupKey);
  Requests_.emplace(Id, std::move(Entry));
  const AdmitResult Result =
      usableUpstream(Registry_, Service) == nullptr
          ? AdmitResult::Shed
          : admit(State, Id, Class, Deadline, Options_.Admission_, Now);
  if (Result == AdmitResult::Admitted)
    start(Id);
  else if (Result == AdmitResult::Shed)
    finish(Id, Now >= Deadline ? refuseTooLate() : refuseOverloaded(State));
}

void OwnerService::start(Ticket Id) {
  Open &Request = Requests_.at(Id);
  const ForwardedRequest &Forward = Request.Forward_;
  const std::string Service = Forward.Service_;
  const UpstreamInfo *Upstream = usableUpstream(Registry_, Service);
  // The wait in the queue may have outlasted the ownership.
  if (Upstream == nullptr || isFenced(Forward)) {
    --Admissions_[Service].InFlight_;
    finish(Id, Upstream == nullptr ? refuseOverloaded(Admissions_[Service])
                                   : refuseNotOwner());
    return;
  }
  Request.Running_ = true;
  Request.StartedAt_ = Time_.now();
  if (Forward.Owned_)
    ++RunningByShard_[shardOf(Forward)];
  const Instant Limit = Forward.Owned_
                            ? std::min(Forward.Deadline_, Serving_.leaseUntil())
                            : Forward.Deadline_;
  HttpCallOptions Call;
  Call.Timeout_ = std::max<Duration>(Limit - Request.StartedAt_,
                                     std::chrono::milliseconds(1));
  Request.Call_ =
      Upstreams_.send(Upstream->Address_, makeUpstreamRequest(Request, Limit),
                      Call, [this, Id](HttpResult Result) {
                        onUpstreamResult(Id, std::move(Result));
                      });
}

HttpRequest OwnerService::makeUpstreamRequest(const Open &Request,
                                              Instant Limit) const {
  const ForwardedRequest &Forward = Request.Forward_;
  HttpRequest Target = Forward.Request_;
  for (const char *Name :
       {RequestIdHeader, TokenHeader, NotAfterHeader, DeadlineHeader})
    eraseHeader(Target.Headers_, Name);
  Target.Headers_.push_back({RequestIdHeader, toString(Forward.Id_)});
  const std::optional<Token> Fence =
      servedToken(Serving_.view(), Forward.Service_, Forward.Shard_);
  if (Forward.Owned_ && Fence)
    Target.Headers_.push_back({TokenHeader, std::to_string(*Fence)});
  Target.Headers_.push_back(
      {NotAfterHeader,
       std::to_string(toMillis(Limit.time_since_epoch()).count())});
  Target.Headers_.push_back(
      {DeadlineHeader, std::to_string(toMillis(Limit - Time_.now()).count())});
  return Target;
}

void OwnerService::onUpstreamResult(Ticket Id, HttpResult Result) {
  const std::map<Ticket, Open>::iterator Found = Requests_.find(Id);
  if (Found == Requests_.end())
    return;
  const std::string Service = Found->second.Forward_.Service_;
  Admission &State = Admissions_[Service];
  const Instant Now = Time_.now();
  if (complete(State, judge(Result), Now - Found->second.StartedAt_,
               Options_.Admission_, Now))
    Reports_.Event_(EventId::UpstreamCold, Service);
  finish(Id, answerOf(std::move(Result), State));
  advance(Service);
}

void OwnerService::finish(Ticket Id, AnswerPtr Result) {
  const std::map<Ticket, Open>::iterator Found = Requests_.find(Id);
  Open Request = std::move(Found->second);
  Requests_.erase(Found);
  if (Request.Running_ && Request.Forward_.Owned_) {
    const ShardKey Key = shardOf(Request.Forward_);
    if (--RunningByShard_[Key] == 0)
      RunningByShard_.erase(Key);
    reportDrained();
  }
  if (!Request.DedupKey_.empty()) {
    finishKeyed(Dedup_, Request.DedupKey_, Request.Forward_.Id_, Result,
                Options_.Dedup_, Time_.now());
    finishWaiters(Request.DedupKey_, Result);
  }
  Request.Callback_(std::move(Result));
}

void OwnerService::finishWaiters(const std::string &DedupKey,
                                 const AnswerPtr &Result) {
  const auto Found = DedupWaiters_.find(DedupKey);
  if (Found == DedupWaiters_.end())
    return;
  std::vector<std::pair<ForwardedRequest, Done>> Waiters =
      std::move(Found->second);
  DedupWaiters_.erase(Found);
  for (auto &[Forward, Callback] : Waiters)
    Callback(Result);
}

void OwnerService::advance(const std::string &Service) {
  const QueueChange Change = advanceQueue(Admissions_[Service], Time_.now());
  for (Ticket Id : Change.Dropped_)
    finish(Id, refuseTooLate());
  for (Ticket Id : Change.Started_)
    start(Id);
}

FateReport OwnerService::lookUp(const RequestId &Id, Instant StartBy) {
  return lookUpFate(Fates_, Id, StartBy, Options_.Fates_, Time_.now());
}

void OwnerService::cancel(const RequestId &Id) {
  for (auto &[Number, Request] : Requests_) {
    if (Request.Forward_.Id_ != Id)
      continue;
    const Ticket Cancelled = Number;
    const std::string Service = Request.Forward_.Service_;
    if (!Request.Running_) {
      removeWaiting(Admissions_[Service], Cancelled);
      finish(Cancelled, refuseTooLate());
      return;
    }
    if (!Request.Forward_.Repeatable_)
      return;
    Upstreams_.cancel(Request.Call_);
    --Admissions_[Service].InFlight_;
    finish(Cancelled, unknownEnd(499, "the caller has left"));
    advance(Service);
    return;
  }
}

void OwnerService::announceUpstream(const UpstreamInfo &Info) {
  switch (announce(Registry_, Info, Time_.now())) {
  case UpstreamChange::None:
    return;
  case UpstreamChange::Appeared:
  case UpstreamChange::Resumed:
    Reports_.Event_(EventId::UpstreamAnnounced, Info.Service_);
    break;
  case UpstreamChange::Restarted:
    Reports_.Event_(EventId::UpstreamRestarted, Info.Service_);
    break;
  case UpstreamChange::Draining:
    Reports_.Event_(EventId::UpstreamDraining, Info.Service_);
    break;
  case UpstreamChange::Lost:
    break;
  }
  Upstreams_.limitConnections(Info.Address_, Info.Connections_);
  resetAdmission(Admissions_[Info.Service_], Info.Slots_, Info.Connections_,
                 Options_.Admission_);
  Reports_.Slots_(announcedSlots(Registry_));
}

void OwnerService::tick() {
  const std::vector<std::string> Lost =
      expire(Registry_, Options_.AnnounceExpiry_, Time_.now());
  for (const std::string &Service : Lost)
    Reports_.Event_(EventId::UpstreamLost, Service);
  if (!Lost.empty())
    Reports_.Slots_(announcedSlots(Registry_));
  for (const auto &[Service, State] : Admissions_)
    advance(Service);
}

void OwnerService::reportDrained() {
  for (const auto &[Key, Fence] : Serving_.view().Releasing_) {
    if (RunningByShard_.count(Key) > 0 || ReportedDrained_[Key] == Fence)
      continue;
    ReportedDrained_[Key] = Fence;
    Reports_.Drained_({Key.Service_, Key.Shard_, Fence});
  }
}

void OwnerService::onViewChanged() {
  const RoutingView &View = Serving_.view();
  const Instant Now = Time_.now();
  for (const auto &[Service, Shards] : View.Table_->Services_) {
    for (ShardId Id = 0; Id < Shards.size(); ++Id) {
      const std::optional<Token> Fence = servedToken(View, Service, Id);
      if (!Fence)
        continue;
      Dated &Entry = Owned_[{Service, Id}];
      if (Entry.Token_ == *Fence)
        continue;
      Entry.Token_ = *Fence;
      Entry.History_ = {Now, Time_.wallNow(), *Fence > 1};
    }
  }
  std::erase_if(ReportedDrained_, [&View](const auto &Entry) {
    return View.Releasing_.count(Entry.first) == 0;
  });
  reportDrained();
}

} // namespace lagoonhitch

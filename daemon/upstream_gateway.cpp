#include "daemon/upstream_gateway.h"

#include "daemon/attempt_description.h"
#include "daemon/stored_answer.h"
#include "daemon/upstream_notice.h"
#include "limits/key_share.h"
#include "net/http_client.h"
#include "net/io_loop.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

/// Longest time that a request waits for its key while that is in transition.
constexpr std::chrono::milliseconds MaxKeyWait{800};
/// Such a request is rejected at least this long before its deadline, so that
/// the rejection reaches its caller in time.
constexpr std::chrono::milliseconds KeyWaitMargin{120};
/// Longest idle time of a connection that is reused for a request that is not
/// idempotent. After that, the connection may be dead without being noticed.
constexpr std::chrono::milliseconds MaxIdleIfNotIdempotent{1500};
/// Transit time of a response from the upstream to the caller.
constexpr std::chrono::milliseconds ResponseTransitTime{10};

/// Within this time, the connections of a crashed upstream are found broken.
/// Their requests are reported together.
constexpr std::chrono::milliseconds LostRunsDelay{1};

/// How long a request whose connection broke runs on after its entry daemon
/// last looked it up. Look-ups of a working entry daemon follow each other in
/// less than half of it.
constexpr std::chrono::milliseconds DisconnectedRunTime{1500};

constexpr unsigned MisdirectedRequest = 421;

/// Returns whether the entry daemon is this process.
bool isFromThisDaemon(const GatewayRequest &Request) {
  return Request.SentAt_ == Instant();
}

} // namespace

UpstreamGateway::UpstreamGateway(IoLoop &Loop, const Clock &Time,
                                 HttpClient &UpstreamClient, HeaderNames Names,
                                 std::string Service, std::string Address,
                                 KeyHooks Hooks, GatewayCallbacks Callbacks)
    : Loop_(Loop), Time_(Time), UpstreamClient_(UpstreamClient),
      Names_(std::move(Names)), Service_(std::move(Service)),
      Address_(std::move(Address)), KeyHooks_(std::move(Hooks)),
      Callbacks_(std::move(Callbacks)) {
  constexpr std::size_t MaxAnswerBytes = 1024 * 1024;
  AttemptTableOptions_.MaxBytes_ = MaxAnswerBytes;
  AttemptTableOptions_.KeepFor_ = std::chrono::seconds(2);
}

void UpstreamGateway::resetForIncarnation(const std::string &Upstream,
                                          std::uint32_t Slots) {
  if (UpstreamId_ != Upstream)
    UpstreamClient_.closeIdle(Address_);
  UpstreamId_ = Upstream;
  IncarnationSince_ = Time_.now();
  ++Incarnation_;
  resetForUpstream(Queue_, Slots);
}

void UpstreamGateway::setAccepting(bool Accepting) {
  if (Accepting_ == Accepting)
    return;
  Accepting_ = Accepting;
  if (Accepting) {
    dispatchQueued();
    return;
  }
  std::vector<std::uint64_t> Waiting;
  for (const auto &[Number, Entry] : Requests_)
    if (Entry.Phase_ != OpenRequest::Phase::Running)
      Waiting.push_back(Number);
  for (const std::uint64_t Number : Waiting)
    reject(Number, RejectReason::Unavailable, Duration::zero());
}

void UpstreamGateway::setCold(Duration For, double PerSecond) {
  const Instant Now = Time_.now();
  lagoonhitch::setCold(Queue_, Now + For,
                       For > Duration::zero() ? PerSecond : 0, Now);
}

void UpstreamGateway::serve(GatewayRequest Request, ResultCallback Callback) {
  const Instant Now = Time_.now();
  GatewayResult Rejection;
  Rejection.Outcome_ = Outcome::NotRun;
  if (!Accepting_ || Request.Service_ != Service_) {
    Rejection.RejectReason_ = RejectReason::Unavailable;
    Callback(std::move(Rejection));
    return;
  }
  if (Request.Deadline_ <= Now) {
    Rejection.RejectReason_ = RejectReason::DeadlineExceeded;
    Callback(std::move(Rejection));
    return;
  }
  const bool AlreadyKnown =
      !beginAttempt(Attempts_, Request.Id_, Request.Deadline_, Now);
  if (AlreadyKnown) {
    Rejection.RejectReason_ = RejectReason::AlreadyResolved;
    Callback(std::move(Rejection));
    return;
  }
  const std::uint64_t Number = ++LastNumber_;
  OpenRequest &Entry = Requests_[Number];
  NumbersById_[Request.Id_] = Number;
  Entry.QueuedRequest_ = {Number,
                          Request.Rank_,
                          Request.ObjectiveAt_,
                          Request.Deadline_,
                          Request.Objective_,
                          Request.Deadline_ - Now,
                          Request.Id_.Attempt_ > 1};
  Entry.Request_ = std::move(Request);
  Entry.Callback_ = std::move(Callback);
  Entry.Since_ = Now;
  if (Entry.Request_.Key_)
    KeyHooks_.CountRequest_(*Entry.Request_.Key_);
  admit(Number);
}

/// Rejects a request that is known to crash upstreams.
bool UpstreamGateway::rejectIfQuarantined(std::uint64_t Number) {
  const std::optional<Duration> Left =
      Callbacks_.QuarantineLeft_(Requests_.at(Number).Request_);
  if (Left)
    reject(Number, RejectReason::Quarantined, *Left);
  return Left.has_value();
}

void UpstreamGateway::admit(std::uint64_t Number) {
  if (rejectIfQuarantined(Number))
    return;
  OpenRequest &Entry = Requests_.at(Number);
  if (Entry.Request_.Key_ && !KeyHooks_.Serves_(*Entry.Request_.Key_)) {
    awaitKey(Number);
    return;
  }
  if (rejectIfKeyExceedsShare(Number))
    return;
  const AdmissionDecision Decision =
      submitRequest(Queue_, Entry.QueuedRequest_, Time_.now());
  switch (Decision.Kind_) {
  case AdmissionDecision::Kind::Start:
    start(Number);
    return;
  case AdmissionDecision::Kind::Wait:
    Entry.Phase_ = OpenRequest::Phase::Queued;
    dispatchQueued();
    return;
  case AdmissionDecision::Kind::Reject:
    reject(Number, RejectReason::Overloaded, Decision.RetryAfter_);
    return;
  }
}

/// Rejects a request of a hot key that would take the place of requests of
/// other keys.
bool UpstreamGateway::rejectIfKeyExceedsShare(std::uint64_t Number) {
  const std::optional<KeyId> Key = Requests_.at(Number).Request_.Key_;
  if (!Key || !KeyHooks_.RateBesideHotKey_)
    return false;
  const std::optional<double> Others = KeyHooks_.RateBesideHotKey_(*Key);
  if (!Others)
    return false;
  KeyShare Share;
  Share.OthersPerSecond_ = *Others;
  for (const auto &[Other, Entry] : Requests_) {
    if (Entry.Phase_ == OpenRequest::Phase::AwaitingKey)
      continue;
    if (Entry.Request_.Key_ == Key)
      ++Share.OfKey_;
    else if (Entry.Phase_ == OpenRequest::Phase::Queued)
      ++Share.OthersWaiting_;
  }
  const std::optional<Duration> Wait = exceedsKeyShare(Queue_, Share);
  if (Wait)
    reject(Number, RejectReason::Overloaded, *Wait);
  return Wait.has_value();
}

void UpstreamGateway::awaitKey(std::uint64_t Number) {
  OpenRequest &Entry = Requests_.at(Number);
  if (!KeyHooks_.Owns_(*Entry.Request_.Key_)) {
    reject(Number, RejectReason::NotOwner, Duration::zero());
    return;
  }
  const Instant Now = Time_.now();
  const bool CanWait = Now - Entry.Since_ < MaxKeyWait &&
                       Entry.Request_.Deadline_ - Now > KeyWaitMargin;
  if (!CanWait) {
    reject(Number, RejectReason::KeyInTransition, Duration::zero());
    return;
  }
  Entry.Phase_ = OpenRequest::Phase::AwaitingKey;
}

void UpstreamGateway::onKeysChanged() {
  std::vector<std::uint64_t> AwaitingKey;
  for (const auto &[Number, Entry] : Requests_)
    if (Entry.Phase_ == OpenRequest::Phase::AwaitingKey)
      AwaitingKey.push_back(Number);
  for (const std::uint64_t Number : AwaitingKey)
    if (Requests_.contains(Number))
      admit(Number);
}

void UpstreamGateway::tick() {
  cancelUnwanted();
  onKeysChanged();
  dispatchQueued();
}

void UpstreamGateway::dispatchQueued() {
  const Instant Now = Time_.now();
  const DispatchResult Dispatch = dispatchWaiting(Queue_, Now);
  for (const QueuedRequest &Request : Dispatch.Dropped_)
    reject(Request.Number_, RejectReason::DeadlineExceeded, Duration::zero());
  for (const QueuedRequest &Request : Dispatch.Started_)
    startQueued(Request);
  RateLimitTimer_.reset();
  if (const std::optional<Duration> Wait = timeToNextToken(Queue_, Now))
    RateLimitTimer_ = Loop_.after(*Wait, [this] { dispatchQueued(); });
}

/// Starts a request from the queue. It may have been quarantined meanwhile.
void UpstreamGateway::startQueued(const QueuedRequest &Request) {
  if (rejectIfQuarantined(Request.Number_))
    finishRequest(Queue_, Request, std::nullopt);
  else
    start(Request.Number_);
}

HttpRequest
UpstreamGateway::makeUpstreamRequest(const OpenRequest &Entry) const {
  HttpRequest Request = Entry.Request_.HttpRequest_;
  const std::chrono::milliseconds Remaining =
      toMillis(Entry.Request_.Deadline_ - Time_.now());
  eraseHeader(Request.Headers_, Names_.Deadline_);
  eraseHeader(Request.Headers_, Names_.TargetUpstream_);
  Request.Headers_.push_back(
      {Names_.Deadline_, std::to_string(std::max<std::int64_t>(
                             (Remaining - ResponseTransitTime).count(), 1))});
  Request.Headers_.push_back({Names_.TargetUpstream_, UpstreamId_});
  return Request;
}

void UpstreamGateway::start(std::uint64_t Number) {
  OpenRequest &Entry = Requests_.at(Number);
  const Instant Now = Time_.now();
  const bool KeyLost =
      Entry.Request_.Key_ && !KeyHooks_.Serves_(*Entry.Request_.Key_);
  if (KeyLost) {
    finishRequest(Queue_, Entry.QueuedRequest_, std::nullopt);
    awaitKey(Number);
    return;
  }
  Entry.Phase_ = OpenRequest::Phase::Running;
  Entry.Since_ = Now;
  Entry.Incarnation_ = Incarnation_;
  ++SentRequests_;
  HttpCallOptions Call;
  Call.Timeout_ = Entry.Request_.Deadline_ - Now;
  Call.EchoHeader_ = Names_.RequestId_;
  Call.NotRunHeader_ = Names_.NotRun_;
  Call.SuccessHeader_ = Names_.Signature_;
  if (!Entry.Request_.Idempotent_)
    Call.MaxIdleTime_ = MaxIdleIfNotIdempotent;
  Entry.Call_ =
      UpstreamClient_.send(Address_, makeUpstreamRequest(Entry), Call,
                           [this, Number](HttpResult CallResult) {
                             onUpstreamResult(Number, std::move(CallResult));
                           });
}

void UpstreamGateway::onUpstreamResult(std::uint64_t Number,
                                       HttpResult CallResult) {
  const auto Found = Requests_.find(Number);
  if (Found == Requests_.end())
    return;
  const OpenRequest &Entry = Found->second;
  if (CallResult.Status_ == HttpCallStatus::Completed) {
    onUpstreamAlive(LostRuns_, Entry.Since_);
    onNotice(readUpstreamNotice(CallResult.Response_, Names_), Entry.Since_);
  }
  if (CallResult.Status_ == HttpCallStatus::ConnectionLost)
    recordLostRun(Entry);
  if (CallResult.Status_ == HttpCallStatus::ConnectionLost ||
      CallResult.Status_ == HttpCallStatus::TimedOut)
    reportCutRun(Entry, describeLostCall(CallResult.Status_));
  GatewayResult Result = classify(Entry, std::move(CallResult));
  const bool Ran = Result.Outcome_ == Outcome::Ran;
  finishRequest(Queue_, Entry.QueuedRequest_,
                Ran ? std::optional<Duration>(Time_.now() - Entry.Since_)
                    : std::nullopt);
  if (Ran)
    addAnswered(AnsweredRequests_, fingerprintOf(Entry.Request_, Names_));
  complete(Number, std::move(Result));
  dispatchQueued();
}

void UpstreamGateway::reportCutRun(const OpenRequest &Entry,
                                   const char *Cause) const {
  if (!Callbacks_.OnRunCut_)
    return;
  const Instant Now = Time_.now();
  const std::string *Id =
      findHeader(Entry.Request_.HttpRequest_.Headers_, Names_.RequestId_);
  Callbacks_.OnRunCut_(
      Id == nullptr ? std::string() : *Id,
      absl::StrCat(Cause, "; attempt ", toString(Entry.Request_.Id_), ", ran ",
                   toMillis(Now - Entry.Since_).count(), " ms, ",
                   toMillis(Entry.Request_.Deadline_ - Now).count(),
                   " ms before its deadline"));
}

void UpstreamGateway::recordLostRun(const OpenRequest &Entry) {
  LostRun Run = describeLostRun(Entry.Request_, Names_);
  Run.AnsweredBefore_ = wasAnswered(AnsweredRequests_, Run.Request_);
  Run.SentAt_ = Entry.Since_;
  Run.LostAt_ = Time_.now();
  addLostRun(LostRuns_, std::move(Run));
  if (LostRunsTimer_ == nullptr)
    LostRunsTimer_ = Loop_.after(LostRunsDelay, [this] {
      LostRunsTimer_.reset();
      Callbacks_.OnRunsLost_();
    });
}

std::vector<LostRun> UpstreamGateway::takeLostRuns() {
  return std::exchange(LostRuns_, {}).Runs_;
}

GatewayResult UpstreamGateway::classify(const OpenRequest &Entry,
                                        HttpResult CallResult) {
  GatewayResult Result;
  if (CallResult.Status_ == HttpCallStatus::NotSent) {
    const bool RefusedByCurrent =
        CallResult.ConnectionRefused_ && Entry.Incarnation_ == Incarnation_;
    if (RefusedByCurrent)
      Callbacks_.OnConnectionRefused_();
    Result.Outcome_ = Outcome::NotRun;
    Result.RejectReason_ = RejectReason::Unavailable;
    return Result;
  }
  if (CallResult.Status_ != HttpCallStatus::Completed)
    return Result;
  const std::vector<HttpHeader> &Headers = CallResult.Response_.Headers_;
  const bool NotRun = CallResult.Response_.Status_ == MisdirectedRequest ||
                      findHeader(Headers, Names_.NotRun_) != nullptr;
  if (NotRun) {
    Result.Outcome_ = Outcome::NotRun;
    Result.RejectedByUpstream_ = true;
    const bool IsMisdirected =
        CallResult.Response_.Status_ == MisdirectedRequest;
    Result.RejectReason_ = IsMisdirected && Entry.Request_.Key_
                               ? RejectReason::NotOwner
                           : IsMisdirected ? RejectReason::Unavailable
                                           : RejectReason::Overloaded;
    if (!IsMisdirected)
      onUpstreamOverloaded(Queue_, Time_.now());
    return Result;
  }
  // Encoded bodies are never requested, so the response is not the upstream's.
  if (findHeader(Headers, "Content-Encoding") != nullptr)
    return Result;
  onUpstreamAccepted(Queue_);
  Result.Outcome_ = Outcome::Ran;
  Result.Response_ = std::move(CallResult.Response_);
  return Result;
}

void UpstreamGateway::chargeHealthCheck() {
  chargeRateLimits(Queue_, Time_.now());
}

void UpstreamGateway::onNotice(const UpstreamNotice &Notice, Instant SentAt) {
  const bool LimitChanged =
      !Notice.RateLimitUnreadable_ &&
      applyStatedLimit(StatedRateLimit_, Notice.RateLimit_, SentAt,
                       Time_.now());
  if (LimitChanged) {
    setStatedLimit(Queue_, StatedRateLimit_.PerSecond_, Time_.now());
    Callbacks_.OnLimitChanged_(StatedRateLimit_);
  }
  if (Notice.Leaving_ && SentAt >= IncarnationSince_)
    Callbacks_.OnLeaving_();
}

void UpstreamGateway::reject(std::uint64_t Number, RejectReason Reason,
                             Duration RetryAfter) {
  const auto Found = Requests_.find(Number);
  if (Found == Requests_.end())
    return;
  cancelWaiting(Queue_, Found->second.QueuedRequest_);
  GatewayResult Result;
  Result.Outcome_ = Outcome::NotRun;
  Result.RejectReason_ = Reason;
  Result.RetryAfter_ = RetryAfter;
  complete(Number, std::move(Result));
}

void UpstreamGateway::complete(std::uint64_t Number, GatewayResult Result) {
  const auto Found = Requests_.find(Number);
  OpenRequest Entry = std::move(Found->second);
  Requests_.erase(Found);
  NumbersById_.erase(Entry.Request_.Id_);
  const bool Disconnected = Disconnected_.erase(Entry.Request_.Id_) > 0;
  AttemptEnd End;
  // The local entry daemon gets the answer below and looks up no status.
  if (!isFromThisDaemon(Entry.Request_))
    End.Answer_ = toStoredAnswer(Result);
  End.DroppedFirst_ = Entry.Request_.Idempotent_ && !Disconnected;
  finishAttempt(
      Attempts_, Entry.Request_.Id_,
      std::max(Entry.Request_.Deadline_, Entry.Request_.LatestLookup_), End,
      AttemptTableOptions_, Time_.now());
  if (Entry.Callback_)
    Entry.Callback_(std::move(Result));
}

bool UpstreamGateway::cancel(const RequestId &Id, const char *Cause) {
  const auto Found = NumbersById_.find(Id);
  if (Found != NumbersById_.end())
    Requests_.at(Found->second).Callback_ = nullptr;
  return cancelAndRespond(Id, Cause);
}

bool UpstreamGateway::cancelAndRespond(const RequestId &Id, const char *Cause) {
  const auto Found = NumbersById_.find(Id);
  if (Found == NumbersById_.end())
    return false;
  const std::uint64_t Number = Found->second;
  OpenRequest &Entry = Requests_.at(Number);
  if (Entry.Phase_ != OpenRequest::Phase::Running) {
    // A status query finds this if only the connection has broken, and another
    // attempt is useful then.
    reject(Number, RejectReason::AlreadyResolved, Duration::zero());
    return true;
  }
  if (!Entry.Request_.Idempotent_)
    return false;
  reportCutRun(Entry, Cause);
  UpstreamClient_.cancel(Entry.Call_);
  finishRequest(Queue_, Entry.QueuedRequest_, std::nullopt);
  complete(Number, GatewayResult());
  dispatchQueued();
  return false;
}

void UpstreamGateway::onConnectionBroken(const RequestId &Id) {
  const auto Found = NumbersById_.find(Id);
  if (Found == NumbersById_.end())
    return;
  OpenRequest &Entry = Requests_.at(Found->second);
  const bool RunsOn =
      Entry.Phase_ == OpenRequest::Phase::Running && Entry.Request_.Idempotent_;
  if (!RunsOn) {
    cancel(Id, "the connection to its entry daemon broke");
    return;
  }
  Entry.CancelAt_ = Time_.now() + DisconnectedRunTime;
  Disconnected_.insert(Id);
}

/// Cancels the requests whose connection broke and whose entry daemon has not
/// looked them up for some time.
void UpstreamGateway::cancelUnwanted() {
  const Instant Now = Time_.now();
  std::vector<RequestId> Unwanted;
  for (const RequestId &Id : Disconnected_)
    if (Requests_.at(NumbersById_.at(Id)).CancelAt_ <= Now)
      Unwanted.push_back(Id);
  for (const RequestId &Id : Unwanted)
    cancel(Id, "the connection to its entry daemon broke, and it asks no more");
}

LoadReport UpstreamGateway::load() const {
  return loadReport(Queue_, Time_.now());
}

std::optional<AttemptInfo>
UpstreamGateway::findStatus(const RequestId &Id) const {
  if (NumbersById_.contains(Id))
    return AttemptInfo{AttemptStatus::Running, nullptr};
  return findAttempt(Attempts_, Id);
}

AttemptInfo UpstreamGateway::lookUpStatus(const RequestId &Id,
                                          Duration StartWithin) {
  const Instant Now = Time_.now();
  if (Disconnected_.contains(Id))
    Requests_.at(NumbersById_.at(Id)).CancelAt_ = Now + DisconnectedRunTime;
  if (const std::optional<AttemptInfo> Known = findStatus(Id))
    return *Known;
  return lookUpAttempt(Attempts_, Id, Now + StartWithin, AttemptTableOptions_,
                       Now);
}

} // namespace lagoonhitch

#include "daemon/upstream_gateway.h"

#include "net/http_client.h"
#include "net/io_loop.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

/// How long a request waits for its key to be held, here or elsewhere.
constexpr std::chrono::milliseconds ParkLimit{800};
/// Time before its deadline at which such a request is refused at the latest,
/// so that its caller learns that it has not run.
constexpr std::chrono::milliseconds ParkMargin{120};
/// Idle time after which a connection may be dead without a sign; requests
/// that must not run twice take another.
constexpr std::chrono::milliseconds FreshIdle{1500};
/// Pause after the upstream had no room.
constexpr std::chrono::milliseconds FullPause{30};
/// Time that an answer takes from the upstream to the caller.
constexpr std::chrono::milliseconds TravelTime{10};

constexpr unsigned Misdirected = 421;

AnswerPtr keepAnswer(const DoorAnswer &Answer) {
  std::shared_ptr<lagoonhitch::Answer> Kept =
      std::make_shared<lagoonhitch::Answer>();
  Kept->Outcome_ = Answer.Outcome_;
  Kept->Status_ = Answer.Response_.Status_;
  for (const HttpHeader &Header : Answer.Response_.Headers_)
    Kept->Headers_.emplace_back(Header.Name_, Header.Value_);
  Kept->Body_ = Answer.Response_.Body_;
  return Kept;
}

} // namespace

UpstreamDoor::UpstreamDoor(IoLoop &Loop, const Clock &Time,
                           HttpClient &Upstreams, HeaderNames Names,
                           std::string Service, std::string Address,
                           DoorKeys Keys, DoorReports Reports)
    : Loop_(Loop), Time_(Time), Upstreams_(Upstreams), Names_(std::move(Names)),
      Service_(std::move(Service)), Address_(std::move(Address)),
      Keys_(std::move(Keys)), Reports_(std::move(Reports)) {
  constexpr std::size_t KeptAnswerBytes = 1024 * 1024;
  FateOptions_.MaxBytes_ = KeptAnswerBytes;
  FateOptions_.KeepFor_ = std::chrono::seconds(2);
}

void UpstreamDoor::openFor(const std::string &Upstream, std::uint32_t Slots) {
  if (Upstream_ != Upstream)
    Upstreams_.closeIdle(Address_);
  Upstream_ = Upstream;
  resetForUpstream(Queue_, Slots);
}

void UpstreamDoor::setAccepting(bool Accepting) {
  if (Accepting_ == Accepting)
    return;
  Accepting_ = Accepting;
  if (Accepting) {
    pump();
    return;
  }
  std::vector<std::uint64_t> Waiting;
  for (const auto &[Number, Entry] : Requests_)
    if (Entry.Phase_ != Open::Phase::Running)
      Waiting.push_back(Number);
  for (const std::uint64_t Number : Waiting)
    refuse(Number, RejectReason::Unavailable, Duration::zero());
}

void UpstreamDoor::setCold(Duration For, double PerSecond) {
  const Instant Now = Time_.now();
  lagoonhitch::setCold(Queue_, Now + For,
                       For > Duration::zero() ? PerSecond : 0, Now);
}

void UpstreamDoor::serve(DoorRequest Request, Done Callback) {
  const Instant Now = Time_.now();
  DoorAnswer Refusal;
  Refusal.Outcome_ = Outcome::NotRun;
  if (!Accepting_ || Request.Service_ != Service_) {
    Refusal.Refusal_ = RejectReason::Unavailable;
    Callback(std::move(Refusal));
    return;
  }
  if (Request.Deadline_ <= Now) {
    Refusal.Refusal_ = RejectReason::DeadlineExceeded;
    Callback(std::move(Refusal));
    return;
  }
  const bool Known = !Request.Idempotent_ &&
                     !beginAttempt(Fates_, Request.Id_, Request.Deadline_, Now);
  if (Known) {
    Refusal.Refusal_ = RejectReason::AlreadyResolved;
    Callback(std::move(Refusal));
    return;
  }
  const std::uint64_t Number = ++NextNumber_;
  Open &Entry = Requests_[Number];
  Numbers_[Request.Id_] = Number;
  Entry.Ticket_ = {Number,
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
    Keys_.Count_(*Entry.Request_.Key_);
  offerOpen(Number);
}

void UpstreamDoor::offerOpen(std::uint64_t Number) {
  Open &Entry = Requests_.at(Number);
  if (Entry.Request_.Key_ && !Keys_.Serves_(*Entry.Request_.Key_)) {
    park(Number);
    return;
  }
  const AdmissionDecision Verdict =
      submitRequest(Queue_, Entry.Ticket_, Time_.now());
  switch (Verdict.Kind_) {
  case AdmissionDecision::Kind::Start:
    start(Number);
    return;
  case AdmissionDecision::Kind::Wait:
    Entry.Phase_ = Open::Phase::Waiting;
    pump();
    return;
  case AdmissionDecision::Kind::Reject:
    refuse(Number, RejectReason::Overloaded, Verdict.RetryAfter_);
    return;
  }
}

void UpstreamDoor::park(std::uint64_t Number) {
  Open &Entry = Requests_.at(Number);
  if (!Keys_.Settles_(*Entry.Request_.Key_)) {
    refuse(Number, RejectReason::NotOwner, Duration::zero());
    return;
  }
  const Instant Now = Time_.now();
  const bool Useful = Now - Entry.Since_ < ParkLimit &&
                      Entry.Request_.Deadline_ - Now > ParkMargin;
  if (!Useful) {
    refuse(Number, RejectReason::KeyInTransition, Duration::zero());
    return;
  }
  Entry.Phase_ = Open::Phase::Parked;
}

void UpstreamDoor::onKeysChanged() {
  std::vector<std::uint64_t> Parked;
  for (const auto &[Number, Entry] : Requests_)
    if (Entry.Phase_ == Open::Phase::Parked)
      Parked.push_back(Number);
  for (const std::uint64_t Number : Parked)
    if (Requests_.contains(Number))
      offerOpen(Number);
}

void UpstreamDoor::tick() {
  onKeysChanged();
  pump();
}

void UpstreamDoor::pump() {
  const Instant Now = Time_.now();
  const DispatchResult Change = dispatchWaiting(Queue_, Now);
  for (const QueuedRequest &Ticket : Change.Dropped_)
    refuse(Ticket.Number_, RejectReason::DeadlineExceeded, Duration::zero());
  for (const QueuedRequest &Ticket : Change.Started_)
    start(Ticket.Number_);
  ColdTimer_.reset();
  if (const std::optional<Duration> Wait = timeToNextColdToken(Queue_, Now))
    ColdTimer_ = Loop_.after(*Wait, [this] { pump(); });
}

HttpRequest UpstreamDoor::upstreamRequest(const Open &Entry) const {
  HttpRequest Request = Entry.Request_.Request_;
  const std::chrono::milliseconds Left =
      toMillis(Entry.Request_.Deadline_ - Time_.now());
  eraseHeader(Request.Headers_, Names_.Deadline_);
  eraseHeader(Request.Headers_, Names_.Target_);
  Request.Headers_.push_back(
      {Names_.Deadline_,
       std::to_string(std::max<std::int64_t>((Left - TravelTime).count(), 1))});
  Request.Headers_.push_back({Names_.Target_, Upstream_});
  return Request;
}

void UpstreamDoor::start(std::uint64_t Number) {
  Open &Entry = Requests_.at(Number);
  const Instant Now = Time_.now();
  const bool Moved =
      Entry.Request_.Key_ && !Keys_.Serves_(*Entry.Request_.Key_);
  if (Moved) {
    finishRequest(Queue_, Entry.Ticket_, std::nullopt);
    park(Number);
    return;
  }
  Entry.Phase_ = Open::Phase::Running;
  Entry.Since_ = Now;
  HttpCallOptions Call;
  Call.Timeout_ = Entry.Request_.Deadline_ - Now;
  Call.EchoHeader_ = Names_.RequestId_;
  Call.NotRunHeader_ = Names_.NotRun_;
  if (!Entry.Request_.Idempotent_)
    Call.FreshWithin_ = FreshIdle;
  Entry.Call_ = Upstreams_.send(Address_, upstreamRequest(Entry), Call,
                                [this, Number](HttpResult Result) {
                                  onResult(Number, std::move(Result));
                                });
}

void UpstreamDoor::onResult(std::uint64_t Number, HttpResult Result) {
  const auto Found = Requests_.find(Number);
  if (Found == Requests_.end())
    return;
  const Open &Entry = Found->second;
  DoorAnswer Answer = classify(Entry, std::move(Result));
  const bool Ran = Answer.Outcome_ == Outcome::Ran;
  finishRequest(Queue_, Entry.Ticket_,
                Ran ? std::optional<Duration>(Time_.now() - Entry.Since_)
                    : std::nullopt);
  conclude(Number, std::move(Answer));
  pump();
}

DoorAnswer UpstreamDoor::classify(const Open &Entry, HttpResult Result) {
  DoorAnswer Answer;
  if (Result.Status_ == HttpStatus::NotSent) {
    if (Result.Refused_)
      Reports_.Refused_();
    Answer.Outcome_ = Outcome::NotRun;
    Answer.Refusal_ = RejectReason::Unavailable;
    return Answer;
  }
  if (Result.Status_ != HttpStatus::Answered)
    return Answer;
  noteLoad(Result.Response_);
  const std::vector<HttpHeader> &Headers = Result.Response_.Headers_;
  const bool NotRun = Result.Response_.Status_ == Misdirected ||
                      findHeader(Headers, Names_.NotRun_) != nullptr;
  if (NotRun) {
    Answer.Outcome_ = Outcome::NotRun;
    Answer.Arrived_ = true;
    const bool Other = Result.Response_.Status_ == Misdirected;
    Answer.Refusal_ = Other && Entry.Request_.Key_ ? RejectReason::NotOwner
                      : Other                      ? RejectReason::Unavailable
                                                   : RejectReason::Overloaded;
    if (!Other)
      Queue_.PausedUntil_ = Time_.now() + FullPause;
    return Answer;
  }
  // Nobody asked for an encoded body, so it is not the upstream's.
  if (findHeader(Headers, "Content-Encoding") != nullptr)
    return Answer;
  Answer.Outcome_ = Outcome::Ran;
  Answer.Response_ = std::move(Result.Response_);
  return Answer;
}

void UpstreamDoor::noteLoad(const HttpResponse &Response) {
  static_cast<void>(Response);
}

void UpstreamDoor::refuse(std::uint64_t Number, RejectReason Reason,
                          Duration RetryAfter) {
  const auto Found = Requests_.find(Number);
  if (Found == Requests_.end())
    return;
  cancelWaiting(Queue_, Found->second.Ticket_);
  DoorAnswer Answer;
  Answer.Outcome_ = Outcome::NotRun;
  Answer.Refusal_ = Reason;
  Answer.RetryAfter_ = RetryAfter;
  conclude(Number, std::move(Answer));
}

void UpstreamDoor::conclude(std::uint64_t Number, DoorAnswer Answer) {
  const auto Found = Requests_.find(Number);
  Open Entry = std::move(Found->second);
  Requests_.erase(Found);
  Numbers_.erase(Entry.Request_.Id_);
  if (!Entry.Request_.Idempotent_)
    finishAttempt(
        Fates_, Entry.Request_.Id_,
        std::max(Entry.Request_.Deadline_, Entry.Request_.AskedUntil_),
        keepAnswer(Answer), FateOptions_, Time_.now());
  if (Entry.Callback_)
    Entry.Callback_(std::move(Answer));
}

bool UpstreamDoor::cancel(const RequestId &Id) {
  const auto Found = Numbers_.find(Id);
  if (Found == Numbers_.end())
    return false;
  const std::uint64_t Number = Found->second;
  Open &Entry = Requests_.at(Number);
  Entry.Callback_ = nullptr;
  if (Entry.Phase_ != Open::Phase::Running) {
    refuse(Number, RejectReason::DeadlineExceeded, Duration::zero());
    return true;
  }
  if (!Entry.Request_.Idempotent_)
    return false;
  Upstreams_.cancel(Entry.Call_);
  finishRequest(Queue_, Entry.Ticket_, std::nullopt);
  conclude(Number, DoorAnswer());
  pump();
  return false;
}

LoadReport UpstreamDoor::load() const {
  LoadReport Load;
  Load.Running_ = Queue_.Running_;
  Load.Queued_ = static_cast<std::uint32_t>(Queue_.Waiting_.size());
  Load.Slots_ = Queue_.Slots_;
  Load.ProcessingMillis_ =
      static_cast<std::uint32_t>(toMillis(Queue_.ProcessingTime_).count());
  if (isCold(Queue_, Time_.now()))
    Load.ColdRate_ = static_cast<std::uint32_t>(Queue_.ColdRate_);
  return Load;
}

AttemptInfo UpstreamDoor::lookUp(const RequestId &Id, Duration StartWithin) {
  const Instant Now = Time_.now();
  if (Numbers_.contains(Id))
    return {AttemptStatus::Running, nullptr};
  return lookUpAttempt(Fates_, Id, Now + StartWithin, FateOptions_, Now);
}

} // namespace lagoonhitch

#include "daemon/entry_service.h"

#include "daemon/headers.h"
#include "daemon/owner_service.h"
#include "net/io_loop.h"
#include "observe/metrics.h"
#include "ownership/shard_hash.h"
#include "settings/rule_match.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lagoonhitch {

namespace {

/// Shards by which a shared service's Idempotency-Keys get an owner.
constexpr std::uint32_t KeyedShards = 256;

/// The owner gives up this much before the entry does, so that its answer
/// still arrives.
constexpr std::chrono::milliseconds AnswerTravelTime{5};

AnswerPtr notFound(const std::string &Message) {
  return makeRefusal(Outcome::NotRun, 404, "refused", Message,
                     "check the path against the prefixes of the services");
}

std::optional<std::chrono::milliseconds>
deadlineOf(const std::vector<HttpHeader> &Headers) {
  const std::string *Text = findHeader(Headers, DeadlineHeader);
  if (Text == nullptr)
    return std::nullopt;
  std::int64_t Millis = 0;
  const std::from_chars_result Parsed =
      std::from_chars(Text->data(), Text->data() + Text->size(), Millis);
  if (Parsed.ec != std::errc() || Millis <= 0)
    return std::nullopt;
  return std::chrono::milliseconds(Millis);
}

std::optional<std::string> keyOf(const ServiceSettings &Service,
                                 const HttpRequest &Request) {
  if (Service.KeySource_ != KeySource::Header)
    return keyFromTarget(Service, Request.Target_);
  const std::string *Value = findHeader(Request.Headers_, Service.KeyName_);
  if (Value == nullptr)
    return std::nullopt;
  return *Value;
}

AnswerKind answerKind(const Answer &Result) {
  return refusalOf(Result) == RefusalReason::None ? AnswerKind::Answered
                                                  : AnswerKind::Refused;
}

HttpResponse callerResponse(const Answer &Result) {
  HttpResponse Response;
  Response.Status_ = Result.Status_;
  for (const auto &[Name, Value] : Result.Headers_)
    if (Name != RefusalHeader)
      Response.Headers_.push_back({Name, Value});
  // Only the entry says what is known, whatever the upstream has sent.
  eraseHeader(Response.Headers_, OutcomeHeader);
  Response.Headers_.push_back({OutcomeHeader, outcomeName(Result.Outcome_)});
  Response.Body_ = Result.Body_;
  return Response;
}

} // namespace

struct EntryService::Open {
  EntryRequest State_;
  const ServiceSettings *Service_ = nullptr;
  /// Whether the request goes to the owner of its shard.
  bool Owned_ = false;
  ForwardedRequest Forward_;
  std::shared_ptr<HttpExchange> Exchange_;
  Instant ReceivedAt_;
  Instant SentAt_;
  bool InAttempt_ = false;
  /// The process that the attempt was sent to, and its address.
  std::string Peer_;
  PeerStamp PeerStamp_;
  std::shared_ptr<void> Call_;
  std::shared_ptr<void> LookUp_;
  std::shared_ptr<void> WakeTimer_;
  std::shared_ptr<void> SilenceTimer_;
  std::shared_ptr<void> DeadlineTimer_;
};

EntryService::EntryService(
    IoLoop &Loop, const Clock &Time, const ServingState &Serving,
    const DaemonSettings &Settings, HttpClient &Peers, OwnerService &Owner,
    Metrics &Numbers, EntryServiceOptions Options, std::uint64_t Process,
    std::function<void(EventId, const std::string &)> Report)
    : Loop_(Loop), Time_(Time), Serving_(Serving), Settings_(Settings),
      Peers_(Peers), Owner_(Owner), Numbers_(Numbers), Options_(Options),
      Process_(Process), Report_(std::move(Report)), Seed_(Process) {}

AnswerPtr EntryService::route(Open &Request, bool Internal) const {
  HttpRequest &Source = Request.Forward_.Request_;
  const ServiceSettings *Service =
      findService(Settings_.Services_, Source.Target_);
  if (Service == nullptr || (Service->Internal_ && !Internal))
    return notFound("no service has this path");
  const RequestRule Rule = findRule(*Service, Source.Method_, Source.Target_);
  const std::chrono::milliseconds Limit = std::min(
      Rule.Deadline_, deadlineOf(Source.Headers_).value_or(Rule.Deadline_));
  Request.Service_ = Service;
  Request.State_.Repeatable_ = Rule.Repeatable_;
  Request.State_.Deadline_ = Request.ReceivedAt_ + Limit;
  Request.Forward_.Service_ = Service->Name_;
  Request.Forward_.Priority_ = Rule.Priority_;
  Request.Forward_.Repeatable_ = Rule.Repeatable_;
  const std::string *Idempotency =
      findHeader(Source.Headers_, IdempotencyHeader);
  if (Service->Divided_) {
    const std::optional<std::string> Key = keyOf(*Service, Source);
    if (!Key)
      return makeRefusal(Outcome::NotRun, 400, "refused",
                         "the request has no key",
                         "send the key where the service's settings say");
    Request.Owned_ = true;
    Request.Forward_.Shard_ = shardOfKey(*Key, Service->Shards_);
  } else if (Idempotency != nullptr && !Rule.Repeatable_) {
    Request.Owned_ = true;
    Request.Forward_.Shard_ = shardOfKey(*Idempotency, KeyedShards);
  }
  Request.State_.Divided_ = Request.Owned_;
  Request.Forward_.Owned_ = Request.Owned_;
  return nullptr;
}

void EntryService::handle(HttpRequest Source,
                          const std::shared_ptr<HttpExchange> &Exchange,
                          bool Internal) {
  const std::shared_ptr<Open> Request = std::make_shared<Open>();
  Request->ReceivedAt_ = Time_.now();
  Request->Exchange_ = Exchange;
  std::erase_if(Source.Headers_, [](const HttpHeader &Header) {
    return isHopByHop(Header.Name_);
  });
  Request->Forward_.Request_ = std::move(Source);
  Request->State_.Id_ = {Process_, ++NextSequence_, 0};
  if (const AnswerPtr Refusal = route(*Request, Internal)) {
    reply(Request, Refusal);
    return;
  }
  earnRetry(Budget_, Options_.RetryPercent_);
  Request->Exchange_->onAbandoned([this, Request] { abandon(Request); });
  Request->DeadlineTimer_ =
      Loop_.after(Request->State_.Deadline_ - Request->ReceivedAt_,
                  [this, Weak = std::weak_ptr<Open>(Request)] {
                    if (const std::shared_ptr<Open> Alive = Weak.lock())
                      perform(Alive, onDeadline(Alive->State_));
                  });
  perform(Request, choose(Request->State_, targetsFor(*Request),
                          Options_.Entry_, Time_.now()));
}

void EntryService::onViewChanged() {
  Candidates_.clear();
  for (const ServiceSettings &Service : Settings_.Services_)
    if (!Service.Divided_)
      Candidates_[Service.Name_] = listCandidates(
          *Serving_.view().Table_, Service.Name_, Settings_.Zone_);
  for (auto &[Service, Loads] : Loads_)
    std::erase_if(Loads, [this](const auto &Entry) {
      return findMember(*Serving_.view().Table_, Entry.first) == nullptr;
    });
}

Targets EntryService::ownersOf(const Open &Request) const {
  const RoutingView &View = Serving_.view();
  const std::string &Service = Request.Service_->Name_;
  const ShardId Id = Request.Forward_.Shard_;
  if (servedToken(View, Service, Id) && Time_.now() < Serving_.leaseUntil())
    return {View.Self_};
  const Shard *One = findShard(*View.Table_, Service, Id);
  if (One == nullptr)
    return {};
  const Member *Owner = findMember(*View.Table_, One->Owner_);
  if (Owner == nullptr)
    return {};
  Targets Owners = {Owner->Id_};
  if (findMember(*View.Table_, Owner->Seats_.Heir_) != nullptr)
    Owners.push_back(Owner->Seats_.Heir_);
  if (One->Target_ != NoMember)
    Owners.push_back(One->Target_);
  return Owners;
}

Targets EntryService::targetsFor(const Open &Request) {
  if (Request.Owned_)
    return ownersOf(Request);
  const std::string &Service = Request.Service_->Name_;
  const std::optional<MemberId> Chosen = chooseUpstream(
      Candidates_[Service], Loads_[Service], Request.State_.Target_, Seed_,
      Options_.Choice_, Time_.now());
  if (Chosen)
    return {*Chosen};
  // The only upstream may be the one that was just tried.
  if (!Candidates_[Service].Members_.empty())
    return {Candidates_[Service].Members_.front()};
  return {};
}

void EntryService::perform(const std::shared_ptr<Open> &Request,
                           const EntryAction &Action) {
  switch (Action.Kind_) {
  case EntryAction::Kind::None:
    return;
  case EntryAction::Kind::Forward:
    forward(Request);
    return;
  case EntryAction::Kind::LookUp:
    lookUp(Request);
    return;
  case EntryAction::Kind::Wait:
    Request->WakeTimer_ = Loop_.after(Action.Delay_, [this, Request] {
      perform(Request, wake(Request->State_, targetsFor(*Request),
                            Options_.Entry_, Time_.now()));
    });
    return;
  case EntryAction::Kind::Reply:
    reply(Request, Action.Answer_);
    return;
  }
}

void EntryService::forward(const std::shared_ptr<Open> &Request) {
  Request->SentAt_ = Time_.now();
  Request->InAttempt_ = true;
  if (!Request->Owned_)
    noteSent(Loads_[Request->Service_->Name_], Request->State_.Target_);
  if (Request->State_.Target_ != Serving_.view().Self_) {
    forwardToPeer(Request, peerAddress(Request->State_.Target_));
    return;
  }
  ForwardedRequest Forward = Request->Forward_;
  Forward.Id_ = Request->State_.Id_;
  Forward.StartBy_ = Request->State_.Deadline_;
  Forward.Deadline_ = Request->State_.Deadline_ - AnswerTravelTime;
  const std::uint32_t Attempt = Forward.Id_.Attempt_;
  Owner_.serve(std::move(Forward), [this, Request, Attempt](AnswerPtr Result) {
    if (Attempt != Request->State_.Id_.Attempt_)
      return;
    noteAttemptEnd(*Request, answerKind(*Result));
    ForwardEnd End;
    End.Kind_ = ForwardEnd::Kind::Answered;
    End.Reason_ = refusalOf(*Result);
    End.Answer_ = std::move(Result);
    perform(Request, onForwardEnd(Request->State_, End, Budget_,
                                  Options_.Entry_, Time_.now()));
  });
}

void EntryService::forwardToPeer(const std::shared_ptr<Open> &Request,
                                 const std::string &Peer) {
  if (const std::optional<PeerStamp> Stamp =
          Clocks_.estimate(Peer, Time_.now())) {
    sendToPeer(Request, Peer, *Stamp);
    return;
  }
  HttpRequest Question;
  Question.Target_ = "/clock";
  HttpCallOptions Call;
  Call.Timeout_ = Options_.Entry_.SettleAfter_;
  const std::uint32_t Attempt = Request->State_.Id_.Attempt_;
  Request->Call_ =
      Peers_.send(Peer, std::move(Question), Call,
                  [this, Request, Peer, Attempt](HttpResult Result) {
                    notePeer(Peer, Result);
                    const std::optional<PeerStamp> Stamp =
                        Clocks_.estimate(Peer, Time_.now());
                    if (Stamp && Result.Status_ == HttpStatus::Answered) {
                      sendToPeer(Request, Peer, *Stamp);
                      return;
                    }
                    Result.Status_ = HttpStatus::NotSent;
                    onPeerResult(Request, Peer, Attempt, std::move(Result));
                  });
}

void EntryService::sendToPeer(const std::shared_ptr<Open> &Request,
                              const std::string &Peer, const PeerStamp &Stamp) {
  const Instant Now = Time_.now();
  const Duration Left = Request->State_.Deadline_ - Now - AnswerTravelTime;
  ForwardedRequest Forward = Request->Forward_;
  Forward.Id_ = Request->State_.Id_;
  Forward.StartBy_ =
      Stamp.Now_ + std::min<Duration>(Left, Options_.StartWithin_);
  Request->Peer_ = Peer;
  Request->PeerStamp_ = {Stamp.Process_, Forward.StartBy_};
  HttpCallOptions Call;
  Call.Timeout_ = Request->State_.Deadline_ - Now;
  const std::uint32_t Attempt = Forward.Id_.Attempt_;
  Request->Call_ =
      Peers_.send(Peer, encodeForward(Forward, Left, Stamp.Process_), Call,
                  [this, Request, Peer, Attempt](HttpResult Result) {
                    onPeerResult(Request, Peer, Attempt, std::move(Result));
                  });
  Request->SilenceTimer_ =
      Loop_.after(Options_.Entry_.SettleAfter_, [this, Request, Attempt] {
        if (Attempt == Request->State_.Id_.Attempt_)
          perform(Request, onSilence(Request->State_, Time_.now()));
      });
}

void EntryService::onPeerResult(const std::shared_ptr<Open> &Request,
                                const std::string &Peer, std::uint32_t Attempt,
                                HttpResult Result) {
  if (Attempt != Request->State_.Id_.Attempt_)
    return;
  Request->SilenceTimer_.reset();
  notePeer(Peer, Result);
  const bool Answered = Result.Status_ == HttpStatus::Answered;
  ForwardEnd End;
  if (!Answered)
    noteAttemptEnd(*Request, AnswerKind::Unreached);
  if (Answered) {
    End.Kind_ = ForwardEnd::Kind::Answered;
    End.Answer_ = decodeAnswer(std::move(Result.Response_));
    End.Reason_ = refusalOf(*End.Answer_);
    noteAttemptEnd(*Request, answerKind(*End.Answer_));
  } else if (Result.Status_ != HttpStatus::NotSent) {
    End.Kind_ = ForwardEnd::Kind::Lost;
  }
  perform(Request, onForwardEnd(Request->State_, End, Budget_, Options_.Entry_,
                                Time_.now()));
}

void EntryService::lookUp(const std::shared_ptr<Open> &Request) {
  Report_(EventId::LinkSettled, Request->Peer_);
  Peers_.closeIdle(Request->Peer_);
  HttpCallOptions Call;
  Call.FreshConnection_ = true;
  Call.Timeout_ = Options_.Entry_.SettleAfter_;
  const std::uint32_t Attempt = Request->State_.Id_.Attempt_;
  Request->LookUp_ =
      Peers_.send(Request->Peer_,
                  encodeLookUp(Request->State_.Id_, Request->PeerStamp_.Now_,
                               Request->PeerStamp_.Process_),
                  Call, [this, Request, Attempt](HttpResult Result) {
                    onLookUpResult(Request, Attempt, std::move(Result));
                  });
}

void EntryService::onLookUpResult(const std::shared_ptr<Open> &Request,
                                  std::uint32_t Attempt, HttpResult Result) {
  if (Attempt != Request->State_.Id_.Attempt_)
    return;
  notePeer(Request->Peer_, Result);
  const Instant Now = Time_.now();
  const bool Answered = Result.Status_ == HttpStatus::Answered;
  std::optional<PeerStamp> Stamp;
  if (Answered)
    Stamp = stampOf(Result.Response_);
  std::optional<FateReport> Report;
  if (Answered)
    Report = decodeFate(std::move(Result.Response_));
  if (Report) {
    if (Report->Fate_ != Fate::Running) {
      // The settled attempt's own connection is given up for good.
      Peers_.cancel(Request->Call_);
      Request->SilenceTimer_.reset();
      noteAttemptEnd(*Request, AnswerKind::Unreached);
    }
    perform(Request,
            onFate(Request->State_, *Report, Budget_, Options_.Entry_, Now));
    return;
  }
  const bool OtherProcess =
      Stamp && Stamp->Process_ != Request->PeerStamp_.Process_;
  const bool Removed =
      findMember(*Serving_.view().Table_, Request->State_.Target_) == nullptr;
  perform(Request, onLookUpFailed(Request->State_, OtherProcess || Removed,
                                  Budget_, Options_.Entry_, Now));
}

void EntryService::noteAttemptEnd(Open &Request, AnswerKind Kind) {
  if (!Request.InAttempt_)
    return;
  Request.InAttempt_ = false;
  if (Request.Owned_)
    return;
  const Instant Now = Time_.now();
  noteAnswered(Loads_[Request.Service_->Name_], Request.State_.Target_,
               Now - Request.SentAt_, Kind, Options_.Choice_, Now);
}

void EntryService::reply(const std::shared_ptr<Open> &Request,
                         const AnswerPtr &Result) {
  noteAttemptEnd(*Request, AnswerKind::Unreached);
  Peers_.cancel(Request->Call_);
  Peers_.cancel(Request->LookUp_);
  Request->Call_.reset();
  Request->LookUp_.reset();
  Request->WakeTimer_.reset();
  Request->SilenceTimer_.reset();
  Request->DeadlineTimer_.reset();
  Numbers_.countAnswer(Request->Service_ ? Request->Service_->Name_ : "none",
                       Result->Outcome_, Time_.now() - Request->ReceivedAt_);
  Request->Exchange_->respond(callerResponse(*Result));
}

void EntryService::abandon(const std::shared_ptr<Open> &Request) {
  const bool Local = Request->State_.Target_ == Serving_.view().Self_;
  if (Local) {
    Owner_.cancel(Request->State_.Id_);
  } else if (!Request->Peer_.empty()) {
    HttpRequest Order =
        encodeLookUp(Request->State_.Id_, Request->PeerStamp_.Now_,
                     Request->PeerStamp_.Process_);
    Order.Target_ = "/cancel";
    Peers_.send(Request->Peer_, std::move(Order), HttpCallOptions(),
                [](const HttpResult &) {});
  }
  if (Request->State_.Phase_ != EntryRequest::Phase::Done)
    perform(Request, onDeadline(Request->State_));
}

void EntryService::notePeer(const std::string &Peer, const HttpResult &Result) {
  if (Result.Status_ != HttpStatus::Answered)
    return;
  if (const std::optional<PeerStamp> Stamp = stampOf(Result.Response_))
    Clocks_.note(Peer, *Stamp, Time_.now());
}

std::string EntryService::peerAddress(MemberId Id) const {
  const Member *Found = findMember(*Serving_.view().Table_, Id);
  return Found == nullptr ? std::string() : Found->PeerAddress_;
}

} // namespace lagoonhitch

#include "daemon/peer_protocol.h"

#include "daemon/headers.h"

#include <charconv>
#include <utility>

namespace lagoonhitch {

namespace {

constexpr const char *ServiceHeader = "Lagoonhitch-Service";
constexpr const char *OwnedHeader = "Lagoonhitch-Owned";
constexpr const char *ShardHeader = "Lagoonhitch-Shard";
constexpr const char *StartByHeader = "Lagoonhitch-Start-By";
constexpr const char *PriorityHeader = "Lagoonhitch-Priority";
constexpr const char *RepeatableHeader = "Lagoonhitch-Repeatable";
constexpr const char *ProcessHeader = "Lagoonhitch-Process";
constexpr const char *NowHeader = "Lagoonhitch-Now";
constexpr const char *FateHeader = "Lagoonhitch-Fate";

constexpr const char *ForwardHeaders[] = {
    RequestIdHeader, ServiceHeader,  OwnedHeader,    ShardHeader,
    StartByHeader,   DeadlineHeader, PriorityHeader, RepeatableHeader,
    ProcessHeader,   TokenHeader,    NotAfterHeader};

std::int64_t ticksOf(Instant At) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             At.time_since_epoch())
      .count();
}

Instant instantOf(std::int64_t Ticks) {
  return Instant(std::chrono::microseconds(Ticks));
}

std::optional<std::int64_t> numberIn(const std::vector<HttpHeader> &Headers,
                                     const char *Name) {
  const std::string *Text = findHeader(Headers, Name);
  if (Text == nullptr)
    return std::nullopt;
  std::int64_t Value = 0;
  const char *End = Text->data() + Text->size();
  const std::from_chars_result Parsed =
      std::from_chars(Text->data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

std::optional<RequestId> idIn(const std::vector<HttpHeader> &Headers) {
  const std::string *Text = findHeader(Headers, RequestIdHeader);
  return Text == nullptr ? std::nullopt : parseRequestId(*Text);
}

void addNumber(std::vector<HttpHeader> &Headers, const char *Name,
               std::int64_t Value) {
  Headers.push_back({Name, std::to_string(Value)});
}

const char *fateName(Fate Value) {
  switch (Value) {
  case Fate::Running:
    return "running";
  case Fate::Finished:
    return "finished";
  case Fate::Refused:
    return "refused";
  case Fate::Forgotten:
    return "forgotten";
  }
  return "forgotten";
}

Outcome parseOutcome(const std::string *Name) {
  for (const Outcome Known : {Outcome::Ran, Outcome::NotRun})
    if (Name != nullptr && *Name == outcomeName(Known))
      return Known;
  return Outcome::Unknown;
}

} // namespace

HttpRequest encodeForward(const ForwardedRequest &Forward, Duration TimeLeft,
                          std::uint64_t Process) {
  HttpRequest Target = Forward.Request_;
  for (const char *Name : ForwardHeaders)
    eraseHeader(Target.Headers_, Name);
  std::vector<HttpHeader> &Headers = Target.Headers_;
  Headers.push_back({RequestIdHeader, toString(Forward.Id_)});
  Headers.push_back({ServiceHeader, Forward.Service_});
  addNumber(Headers, OwnedHeader, Forward.Owned_ ? 1 : 0);
  addNumber(Headers, ShardHeader, Forward.Shard_);
  addNumber(Headers, StartByHeader, ticksOf(Forward.StartBy_));
  addNumber(Headers, DeadlineHeader, toMillis(TimeLeft).count());
  addNumber(Headers, PriorityHeader,
            static_cast<std::int64_t>(Forward.Priority_));
  addNumber(Headers, RepeatableHeader, Forward.Repeatable_ ? 1 : 0);
  addNumber(Headers, ProcessHeader, static_cast<std::int64_t>(Process));
  return Target;
}

std::optional<ForwardedRequest> decodeForward(HttpRequest Source, Instant Now,
                                              std::uint64_t &Process) {
  const std::vector<HttpHeader> &Headers = Source.Headers_;
  const std::optional<RequestId> Id = idIn(Headers);
  const std::string *Service = findHeader(Headers, ServiceHeader);
  const std::optional<std::int64_t> Owned = numberIn(Headers, OwnedHeader);
  const std::optional<std::int64_t> Shard = numberIn(Headers, ShardHeader);
  const std::optional<std::int64_t> StartBy = numberIn(Headers, StartByHeader);
  const std::optional<std::int64_t> Left = numberIn(Headers, DeadlineHeader);
  const std::optional<std::int64_t> Class = numberIn(Headers, PriorityHeader);
  const std::optional<std::int64_t> Repeat =
      numberIn(Headers, RepeatableHeader);
  const std::optional<std::int64_t> Meant = numberIn(Headers, ProcessHeader);
  if (!Id || Service == nullptr || !Owned || !Shard || !StartBy || !Left ||
      !Class || !Repeat || !Meant)
    return std::nullopt;
  const bool InRange = *Class >= 0 &&
                       *Class < static_cast<std::int64_t>(PriorityCount) &&
                       *Shard >= 0 && *Shard <= UINT32_MAX;
  if (!InRange)
    return std::nullopt;
  ForwardedRequest Forward;
  Forward.Id_ = *Id;
  Forward.Service_ = *Service;
  Forward.Owned_ = *Owned != 0;
  Forward.Shard_ = static_cast<ShardId>(*Shard);
  Forward.StartBy_ = instantOf(*StartBy);
  Forward.Deadline_ = Now + std::chrono::milliseconds(*Left);
  Forward.Priority_ = static_cast<Priority>(*Class);
  Forward.Repeatable_ = *Repeat != 0;
  Process = static_cast<std::uint64_t>(*Meant);
  for (const char *Name : ForwardHeaders)
    eraseHeader(Source.Headers_, Name);
  Forward.Request_ = std::move(Source);
  return Forward;
}

HttpResponse encodeAnswer(const Answer &Result, const PeerStamp &Stamp) {
  HttpResponse Target;
  Target.Status_ = Result.Status_;
  for (const auto &[Name, Value] : Result.Headers_)
    Target.Headers_.push_back({Name, Value});
  eraseHeader(Target.Headers_, OutcomeHeader);
  Target.Headers_.push_back({OutcomeHeader, outcomeName(Result.Outcome_)});
  Target.Body_ = Result.Body_;
  addStamp(Target, Stamp);
  return Target;
}

AnswerPtr decodeAnswer(HttpResponse Source) {
  Answer Result;
  Result.Outcome_ = parseOutcome(findHeader(Source.Headers_, OutcomeHeader));
  Result.Status_ = Source.Status_;
  for (const char *Name : {OutcomeHeader, ProcessHeader, NowHeader, FateHeader})
    eraseHeader(Source.Headers_, Name);
  for (HttpHeader &Header : Source.Headers_)
    if (!isHopByHop(Header.Name_))
      Result.Headers_.emplace_back(std::move(Header.Name_),
                                   std::move(Header.Value_));
  Result.Body_ = std::move(Source.Body_);
  return std::make_shared<const Answer>(std::move(Result));
}

HttpRequest encodeLookUp(const RequestId &Id, Instant StartBy,
                         std::uint64_t Process) {
  HttpRequest Target;
  Target.Target_ = "/fate";
  Target.Headers_.push_back({RequestIdHeader, toString(Id)});
  addNumber(Target.Headers_, StartByHeader, ticksOf(StartBy));
  addNumber(Target.Headers_, ProcessHeader, static_cast<std::int64_t>(Process));
  return Target;
}

std::optional<LookUp> decodeLookUp(const HttpRequest &Source) {
  const std::optional<RequestId> Id = idIn(Source.Headers_);
  const std::optional<std::int64_t> StartBy =
      numberIn(Source.Headers_, StartByHeader);
  const std::optional<std::int64_t> Process =
      numberIn(Source.Headers_, ProcessHeader);
  if (!Id || !StartBy || !Process)
    return std::nullopt;
  return LookUp{*Id, instantOf(*StartBy), static_cast<std::uint64_t>(*Process)};
}

HttpResponse encodeFate(const FateReport &Report, const PeerStamp &Stamp) {
  HttpResponse Target;
  if (Report.Answer_) {
    Target = encodeAnswer(*Report.Answer_, Stamp);
  } else {
    Target.Status_ = 204;
    addStamp(Target, Stamp);
  }
  eraseHeader(Target.Headers_, FateHeader);
  Target.Headers_.push_back({FateHeader, fateName(Report.Fate_)});
  return Target;
}

std::optional<FateReport> decodeFate(HttpResponse Source) {
  const std::string *Name = findHeader(Source.Headers_, FateHeader);
  if (Name == nullptr)
    return std::nullopt;
  for (const Fate Known :
       {Fate::Running, Fate::Finished, Fate::Refused, Fate::Forgotten}) {
    if (*Name != fateName(Known))
      continue;
    FateReport Report;
    Report.Fate_ = Known;
    if (Known == Fate::Finished)
      Report.Answer_ = decodeAnswer(std::move(Source));
    return Report;
  }
  return std::nullopt;
}

std::optional<PeerStamp> stampOf(const HttpResponse &Source) {
  const std::optional<std::int64_t> Process =
      numberIn(Source.Headers_, ProcessHeader);
  const std::optional<std::int64_t> Now = numberIn(Source.Headers_, NowHeader);
  if (!Process || !Now)
    return std::nullopt;
  return PeerStamp{static_cast<std::uint64_t>(*Process), instantOf(*Now)};
}

void addStamp(HttpResponse &Target, const PeerStamp &Stamp) {
  eraseHeader(Target.Headers_, ProcessHeader);
  eraseHeader(Target.Headers_, NowHeader);
  addNumber(Target.Headers_, ProcessHeader,
            static_cast<std::int64_t>(Stamp.Process_));
  addNumber(Target.Headers_, NowHeader, ticksOf(Stamp.Now_));
}

} // namespace lagoonhitch

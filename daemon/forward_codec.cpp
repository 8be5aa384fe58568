#include "daemon/forward_codec.h"

#include "net/request_rejection.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

constexpr const char *CancellationMethod = "DELETE";

constexpr const char *ForwardHeader = "Lagoonhitch-Forward";
constexpr const char *OutcomeHeader = "Lagoonhitch-Outcome";
constexpr const char *RejectionHeader = "Lagoonhitch-Refusal";
constexpr const char *AttemptStatusHeader = "Lagoonhitch-Fate";
constexpr const char *LoadHeader = "Lagoonhitch-Load";
constexpr const char *WorkHeader = "Lagoonhitch-Work";
constexpr const char *ClassHeader = "Lagoonhitch-Class";
constexpr const char *NoKey = "-";
constexpr unsigned RejectedStatus = 503;

std::int64_t millisUntil(Instant Moment, Instant Now) {
  return toMillis(Moment - Now).count();
}

void eraseReservedHeaders(std::vector<HttpHeader> &Headers) {
  std::erase_if(Headers, [](const HttpHeader &Header) {
    return absl::StartsWithIgnoreCase(Header.Name_, ReservedHeaderPrefix);
  });
}

Outcome parseOutcome(const std::string *Name) {
  if (Name == nullptr)
    return Outcome::Unknown;
  if (*Name == outcomeName(Outcome::Ran))
    return Outcome::Ran;
  return *Name == outcomeName(Outcome::NotRun) ? Outcome::NotRun
                                               : Outcome::Unknown;
}

void parseRejection(const std::string *Text, GatewayResult &Result) {
  if (Text == nullptr)
    return;
  const std::vector<std::string> Parts = absl::StrSplit(*Text, ';');
  int Reason = 0;
  std::int64_t Millis = 0;
  int RejectedByUpstream = 0;
  const bool Valid = Parts.size() == 3 && absl::SimpleAtoi(Parts[0], &Reason) &&
                     absl::SimpleAtoi(Parts[1], &Millis) &&
                     absl::SimpleAtoi(Parts[2], &RejectedByUpstream);
  if (!Valid || Reason < 0 ||
      Reason > static_cast<int>(RejectReason::Quarantined))
    return;
  Result.RejectReason_ = static_cast<RejectReason>(Reason);
  Result.RetryAfter_ = std::chrono::milliseconds(Millis);
  Result.RejectedByUpstream_ = RejectedByUpstream != 0;
}

std::string encodeLoad(const LoadReport &Load) {
  return absl::StrCat(Load.Running_, ";", Load.Queued_, ";", Load.Slots_, ";",
                      Load.ProcessingMillis_, ";", Load.RateLimit_);
}

std::optional<LoadReport> decodeLoad(const std::string *Text) {
  if (Text == nullptr)
    return std::nullopt;
  const std::vector<std::string> Parts = absl::StrSplit(*Text, ';');
  LoadReport Load;
  const bool Valid = Parts.size() == 5 &&
                     absl::SimpleAtoi(Parts[0], &Load.Running_) &&
                     absl::SimpleAtoi(Parts[1], &Load.Queued_) &&
                     absl::SimpleAtoi(Parts[2], &Load.Slots_) &&
                     absl::SimpleAtoi(Parts[3], &Load.ProcessingMillis_) &&
                     absl::SimpleAtoi(Parts[4], &Load.RateLimit_);
  return Valid ? std::optional<LoadReport>(Load) : std::nullopt;
}

/// Encodes the work of the upstream and, if known, that of the run.
std::string encodeWork(const UpstreamWork &Work,
                       const std::optional<std::uint32_t> &RunMillis) {
  std::string Text =
      absl::StrCat(Work.SlowdownPercent_, ";", Work.CurrentSlowdownPercent_,
                   ";", Work.FailurePercent_, ";", Work.RemainingMillis_);
  for (const std::uint32_t Wait : Work.WaitMillis_)
    absl::StrAppend(&Text, ";", Wait);
  if (RunMillis)
    absl::StrAppend(&Text, ";", *RunMillis);
  return Text;
}

/// Decodes the work of the upstream and of the run. Ignores a malformed header.
void decodeWork(const std::string *Text, GatewayResult &Result) {
  if (Text == nullptr || !Result.Load_)
    return;
  constexpr std::size_t WorkParts = 4 + ReportedRanks;
  const std::vector<std::string> Parts = absl::StrSplit(*Text, ';');
  if (Parts.size() != WorkParts && Parts.size() != WorkParts + 1)
    return;
  std::vector<std::uint32_t> Numbers(Parts.size());
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    if (!absl::SimpleAtoi(Parts[Index], &Numbers[Index]))
      return;
  UpstreamWork &Work = Result.Load_->Work_;
  Work.SlowdownPercent_ = Numbers[0];
  Work.CurrentSlowdownPercent_ = Numbers[1];
  Work.FailurePercent_ = Numbers[2];
  Work.RemainingMillis_ = Numbers[3];
  std::copy_n(Numbers.begin() + 4, ReportedRanks, Work.WaitMillis_.begin());
  if (Parts.size() > WorkParts)
    Result.RunWorkMillis_ = Numbers[WorkParts];
}

/// Sets the class of a request and whether it is chained. Without a readable
/// header, the class is unknown.
void decodeClass(const std::string *Text, GatewayRequest &Request) {
  if (Text == nullptr)
    return;
  const std::vector<std::string> Parts = absl::StrSplit(*Text, ';');
  std::uint32_t Class = 0;
  std::uint32_t Chained = 0;
  const bool Valid = Parts.size() == 2 && absl::SimpleAtoi(Parts[0], &Class) &&
                     absl::SimpleAtoi(Parts[1], &Chained);
  if (!Valid)
    return;
  Request.Class_ = Class;
  Request.Chained_ = Chained != 0;
}

} // namespace

HttpRequest encodeForwardedRequest(const GatewayRequest &Request, Instant Now) {
  HttpRequest Message = Request.HttpRequest_;
  Message.Headers_.push_back(
      {ForwardHeader,
       absl::StrCat(toString(Request.Id_), ";", Request.Service_, ";",
                    Request.Key_ ? absl::StrCat(*Request.Key_) : NoKey, ";",
                    Request.Rank_, ";", Request.Idempotent_ ? 1 : 0, ";",
                    millisUntil(Request.Deadline_, Now), ";",
                    millisUntil(Request.ObjectiveAt_, Now), ";",
                    toMillis(Request.Objective_).count(), ";",
                    toMillis(Now.time_since_epoch()).count())});
  Message.Headers_.push_back(
      {ClassHeader,
       absl::StrCat(Request.Class_, ";", Request.Chained_ ? 1 : 0)});
  return Message;
}

HttpHeader forwardHeaderOf(const RequestId &Id) {
  return {ForwardHeader, toString(Id) + ";"};
}

bool isForwardedRequest(const HttpRequest &Message) {
  return findHeader(Message.Headers_, ForwardHeader) != nullptr;
}

std::optional<GatewayRequest> decodeForwardedRequest(HttpRequest Message,
                                                     Instant Now) {
  const std::string *Text = findHeader(Message.Headers_, ForwardHeader);
  if (Text == nullptr)
    return std::nullopt;
  const std::vector<std::string> Parts = absl::StrSplit(*Text, ';');
  constexpr std::size_t PartCount = 9;
  if (Parts.size() != PartCount)
    return std::nullopt;
  GatewayRequest Request;
  const std::optional<RequestId> Id = parseRequestId(Parts[0]);
  int Idempotent = 0;
  std::int64_t DeadlineMillis = 0;
  std::int64_t ObjectiveAtMillis = 0;
  std::int64_t ObjectiveMillis = 0;
  std::int64_t SentMillis = 0;
  const bool Valid = Id && absl::SimpleAtoi(Parts[3], &Request.Rank_) &&
                     absl::SimpleAtoi(Parts[4], &Idempotent) &&
                     absl::SimpleAtoi(Parts[5], &DeadlineMillis) &&
                     absl::SimpleAtoi(Parts[6], &ObjectiveAtMillis) &&
                     absl::SimpleAtoi(Parts[7], &ObjectiveMillis) &&
                     absl::SimpleAtoi(Parts[8], &SentMillis);
  if (!Valid)
    return std::nullopt;
  if (Parts[2] != NoKey) {
    KeyId Key = 0;
    if (!absl::SimpleAtoi(Parts[2], &Key))
      return std::nullopt;
    Request.Key_ = Key;
  }
  Request.Id_ = *Id;
  Request.Service_ = Parts[1];
  Request.Idempotent_ = Idempotent != 0;
  Request.Deadline_ = Now + std::chrono::milliseconds(DeadlineMillis);
  Request.LatestLookup_ = Request.Deadline_;
  Request.ObjectiveAt_ = Now + std::chrono::milliseconds(ObjectiveAtMillis);
  Request.Objective_ = std::chrono::milliseconds(ObjectiveMillis);
  Request.SentAt_ = Instant(std::chrono::milliseconds(SentMillis));
  decodeClass(findHeader(Message.Headers_, ClassHeader), Request);
  eraseReservedHeaders(Message.Headers_);
  Request.HttpRequest_ = std::move(Message);
  return Request;
}

HttpResponse encodeGatewayResult(GatewayResult Result) {
  HttpResponse Message = std::move(Result.Response_);
  eraseReservedHeaders(Message.Headers_);
  if (Result.Outcome_ != Outcome::Ran)
    Message.Status_ = RejectedStatus;
  Message.Headers_.push_back({OutcomeHeader, outcomeName(Result.Outcome_)});
  if (Result.RejectReason_ != RejectReason::None)
    Message.Headers_.push_back(
        {RejectionHeader,
         absl::StrCat(static_cast<int>(Result.RejectReason_), ";",
                      toMillis(Result.RetryAfter_).count(), ";",
                      Result.RejectedByUpstream_ ? 1 : 0)});
  if (Result.Load_) {
    Message.Headers_.push_back({LoadHeader, encodeLoad(*Result.Load_)});
    Message.Headers_.push_back(
        {WorkHeader, encodeWork(Result.Load_->Work_, Result.RunWorkMillis_)});
  }
  return Message;
}

HttpHeader noMemoryHeader() {
  return {RejectionHeader,
          absl::StrCat(static_cast<int>(RejectReason::Overloaded), ";",
                       MemoryRetryAfter.count(), ";0")};
}

GatewayResult decodeGatewayResult(HttpResponse Message) {
  GatewayResult Result;
  Result.Outcome_ = parseOutcome(findHeader(Message.Headers_, OutcomeHeader));
  parseRejection(findHeader(Message.Headers_, RejectionHeader), Result);
  Result.Load_ = decodeLoad(findHeader(Message.Headers_, LoadHeader));
  decodeWork(findHeader(Message.Headers_, WorkHeader), Result);
  eraseReservedHeaders(Message.Headers_);
  Result.Response_ = std::move(Message);
  return Result;
}

HttpRequest encodeStatusQuery(const AttemptStatusQuery &Query) {
  HttpRequest Message;
  Message.Target_ =
      absl::StrCat(AttemptStatusPath, "/", toString(Query.Id_), "/",
                   Query.Process_, "/", Query.StartWithin_.count());
  return Message;
}

HttpRequest encodeCancellation(const AttemptStatusQuery &Query) {
  HttpRequest Message = encodeStatusQuery(Query);
  Message.Method_ = CancellationMethod;
  return Message;
}

bool isCancellation(const HttpRequest &Message) {
  return Message.Method_ == CancellationMethod;
}

std::optional<AttemptStatusQuery> decodeStatusQuery(const std::string &Target) {
  const std::vector<std::string> Parts = absl::StrSplit(Target, '/');
  constexpr std::size_t PartCount = 5;
  if (Parts.size() != PartCount)
    return std::nullopt;
  AttemptStatusQuery Query;
  std::int64_t Millis = 0;
  const std::optional<RequestId> Id = parseRequestId(Parts[2]);
  if (!Id || !absl::SimpleAtoi(Parts[3], &Query.Process_) ||
      !absl::SimpleAtoi(Parts[4], &Millis))
    return std::nullopt;
  Query.Id_ = *Id;
  Query.StartWithin_ = std::chrono::milliseconds(Millis);
  return Query;
}

HttpResponse encodeStatusReply(const AttemptInfo &Info) {
  HttpResponse Message;
  GatewayResult Result;
  const char *Name = "unknown";
  if (Info.Status_ == AttemptStatus::Running) {
    Name = "running";
  } else if (Info.Status_ == AttemptStatus::Rejected) {
    Name = "settled";
    Result.Outcome_ = Outcome::NotRun;
    Result.RejectReason_ = RejectReason::AlreadyResolved;
  } else if (Info.Status_ == AttemptStatus::Finished && Info.Answer_) {
    Name = "settled";
    Result.Outcome_ = Info.Answer_->Outcome_;
    Result.RejectReason_ = Info.Answer_->RejectReason_;
    Result.RetryAfter_ = Info.Answer_->RetryAfter_;
    Result.RejectedByUpstream_ = Info.Answer_->RejectedByUpstream_;
    Result.Response_.Status_ = Info.Answer_->Status_;
    for (const auto &[Header, Value] : Info.Answer_->Headers_)
      Result.Response_.Headers_.push_back({Header, Value});
    Result.Response_.Body_ = Info.Answer_->Body_;
  }
  Message = encodeGatewayResult(std::move(Result));
  Message.Headers_.push_back({AttemptStatusHeader, Name});
  return Message;
}

AttemptStatusReply decodeStatusReply(HttpResponse Message) {
  AttemptStatusReply Reply;
  const std::string *Name = findHeader(Message.Headers_, AttemptStatusHeader);
  if (Name == nullptr)
    return Reply;
  if (*Name == "running")
    Reply.Kind_ = AttemptStatusReply::Kind::Running;
  if (*Name == "settled")
    Reply.Kind_ = AttemptStatusReply::Kind::Ended;
  Reply.Result_ = decodeGatewayResult(std::move(Message));
  return Reply;
}

} // namespace lagoonhitch

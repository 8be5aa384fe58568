#include "daemon/forward_codec.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonhitch {

namespace {

constexpr const char *ForwardHeader = "Lagoonhitch-Forward";
constexpr const char *OutcomeHeader = "Lagoonhitch-Outcome";
constexpr const char *RefusalHeader = "Lagoonhitch-Refusal";
constexpr const char *FateHeader = "Lagoonhitch-Fate";
constexpr const char *LoadHeader = "Lagoonhitch-Load";
constexpr const char *NoKey = "-";
constexpr unsigned RefusedStatus = 503;

std::int64_t millisUntil(Instant Moment, Instant Now) {
  return toMillis(Moment - Now).count();
}

void eraseOwnHeaders(std::vector<HttpHeader> &Headers) {
  std::erase_if(Headers, [](const HttpHeader &Header) {
    return absl::StartsWithIgnoreCase(Header.Name_, OwnHeaderPrefix);
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

void readRefusal(const std::string *Text, DoorAnswer &Answer) {
  if (Text == nullptr)
    return;
  const std::vector<std::string> Parts = absl::StrSplit(*Text, ';');
  int Reason = 0;
  std::int64_t Millis = 0;
  int Arrived = 0;
  const bool Whole = Parts.size() == 3 && absl::SimpleAtoi(Parts[0], &Reason) &&
                     absl::SimpleAtoi(Parts[1], &Millis) &&
                     absl::SimpleAtoi(Parts[2], &Arrived);
  if (!Whole || Reason < 0 ||
      Reason > static_cast<int>(RejectReason::KeyInTransition))
    return;
  Answer.Refusal_ = static_cast<RejectReason>(Reason);
  Answer.RetryAfter_ = std::chrono::milliseconds(Millis);
  Answer.Arrived_ = Arrived != 0;
}

std::string encodeLoad(const LoadReport &Load) {
  return absl::StrCat(Load.Running_, ";", Load.Queued_, ";", Load.Slots_, ";",
                      Load.ProcessingMillis_, ";", Load.ColdRate_);
}

std::optional<LoadReport> decodeLoad(const std::string *Text) {
  if (Text == nullptr)
    return std::nullopt;
  const std::vector<std::string> Parts = absl::StrSplit(*Text, ';');
  LoadReport Load;
  const bool Whole = Parts.size() == 5 &&
                     absl::SimpleAtoi(Parts[0], &Load.Running_) &&
                     absl::SimpleAtoi(Parts[1], &Load.Queued_) &&
                     absl::SimpleAtoi(Parts[2], &Load.Slots_) &&
                     absl::SimpleAtoi(Parts[3], &Load.ProcessingMillis_) &&
                     absl::SimpleAtoi(Parts[4], &Load.ColdRate_);
  return Whole ? std::optional<LoadReport>(Load) : std::nullopt;
}

} // namespace

HttpRequest encodeForward(const DoorRequest &Request, Instant Now) {
  HttpRequest Message = Request.Request_;
  Message.Headers_.push_back(
      {ForwardHeader,
       absl::StrCat(toString(Request.Id_), ";", Request.Service_, ";",
                    Request.Key_ ? absl::StrCat(*Request.Key_) : NoKey, ";",
                    Request.Rank_, ";", Request.Idempotent_ ? 1 : 0, ";",
                    millisUntil(Request.Deadline_, Now), ";",
                    millisUntil(Request.ObjectiveAt_, Now), ";",
                    toMillis(Request.Objective_).count(), ";",
                    toMillis(Now.time_since_epoch()).count())});
  return Message;
}

bool isForward(const HttpRequest &Message) {
  return findHeader(Message.Headers_, ForwardHeader) != nullptr;
}

std::optional<DoorRequest> decodeForward(HttpRequest Message, Instant Now) {
  const std::string *Text = findHeader(Message.Headers_, ForwardHeader);
  if (Text == nullptr)
    return std::nullopt;
  const std::vector<std::string> Parts = absl::StrSplit(*Text, ';');
  constexpr std::size_t PartCount = 9;
  if (Parts.size() != PartCount)
    return std::nullopt;
  DoorRequest Request;
  const std::optional<RequestId> Id = parseRequestId(Parts[0]);
  int Idempotent = 0;
  std::int64_t DeadlineMillis = 0;
  std::int64_t ObjectiveAtMillis = 0;
  std::int64_t ObjectiveMillis = 0;
  std::int64_t SentMillis = 0;
  const bool Whole = Id && absl::SimpleAtoi(Parts[3], &Request.Rank_) &&
                     absl::SimpleAtoi(Parts[4], &Idempotent) &&
                     absl::SimpleAtoi(Parts[5], &DeadlineMillis) &&
                     absl::SimpleAtoi(Parts[6], &ObjectiveAtMillis) &&
                     absl::SimpleAtoi(Parts[7], &ObjectiveMillis) &&
                     absl::SimpleAtoi(Parts[8], &SentMillis);
  if (!Whole)
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
  Request.AskedUntil_ = Request.Deadline_;
  Request.ObjectiveAt_ = Now + std::chrono::milliseconds(ObjectiveAtMillis);
  Request.Objective_ = std::chrono::milliseconds(ObjectiveMillis);
  Request.SentAt_ = Instant(std::chrono::milliseconds(SentMillis));
  eraseOwnHeaders(Message.Headers_);
  Request.Request_ = std::move(Message);
  return Request;
}

HttpResponse encodeDoorAnswer(DoorAnswer Answer) {
  HttpResponse Message = std::move(Answer.Response_);
  eraseOwnHeaders(Message.Headers_);
  if (Answer.Outcome_ != Outcome::Ran)
    Message.Status_ = RefusedStatus;
  Message.Headers_.push_back({OutcomeHeader, outcomeName(Answer.Outcome_)});
  if (Answer.Refusal_ != RejectReason::None)
    Message.Headers_.push_back(
        {RefusalHeader, absl::StrCat(static_cast<int>(Answer.Refusal_), ";",
                                     toMillis(Answer.RetryAfter_).count(), ";",
                                     Answer.Arrived_ ? 1 : 0)});
  if (Answer.Load_)
    Message.Headers_.push_back({LoadHeader, encodeLoad(*Answer.Load_)});
  return Message;
}

DoorAnswer decodeDoorAnswer(HttpResponse Message) {
  DoorAnswer Answer;
  Answer.Outcome_ = parseOutcome(findHeader(Message.Headers_, OutcomeHeader));
  readRefusal(findHeader(Message.Headers_, RefusalHeader), Answer);
  Answer.Load_ = decodeLoad(findHeader(Message.Headers_, LoadHeader));
  eraseOwnHeaders(Message.Headers_);
  Answer.Response_ = std::move(Message);
  return Answer;
}

HttpRequest encodeFateQuestion(const FateQuestion &Question) {
  HttpRequest Message;
  Message.Target_ =
      absl::StrCat(FatePath, "/", toString(Question.Id_), "/",
                   Question.Process_, "/", Question.StartWithin_.count());
  return Message;
}

std::optional<FateQuestion> decodeFateQuestion(const std::string &Target) {
  const std::vector<std::string> Parts = absl::StrSplit(Target, '/');
  constexpr std::size_t PartCount = 5;
  if (Parts.size() != PartCount)
    return std::nullopt;
  FateQuestion Question;
  std::int64_t Millis = 0;
  const std::optional<RequestId> Id = parseRequestId(Parts[2]);
  if (!Id || !absl::SimpleAtoi(Parts[3], &Question.Process_) ||
      !absl::SimpleAtoi(Parts[4], &Millis))
    return std::nullopt;
  Question.Id_ = *Id;
  Question.StartWithin_ = std::chrono::milliseconds(Millis);
  return Question;
}

HttpResponse encodeFateReply(const AttemptInfo &Report) {
  HttpResponse Message;
  DoorAnswer Answer;
  const char *Name = "unknown";
  if (Report.Status_ == AttemptStatus::Running) {
    Name = "running";
  } else if (Report.Status_ == AttemptStatus::Rejected) {
    Name = "settled";
    Answer.Outcome_ = Outcome::NotRun;
    Answer.Refusal_ = RejectReason::AlreadyResolved;
  } else if (Report.Status_ == AttemptStatus::Finished && Report.Answer_) {
    Name = "settled";
    Answer.Outcome_ = Report.Answer_->Outcome_;
    Answer.Response_.Status_ = Report.Answer_->Status_;
    for (const auto &[Header, Value] : Report.Answer_->Headers_)
      Answer.Response_.Headers_.push_back({Header, Value});
    Answer.Response_.Body_ = Report.Answer_->Body_;
  }
  Message = encodeDoorAnswer(std::move(Answer));
  Message.Headers_.push_back({FateHeader, Name});
  return Message;
}

FateReply decodeFateReply(HttpResponse Message) {
  FateReply Reply;
  const std::string *Name = findHeader(Message.Headers_, FateHeader);
  if (Name == nullptr)
    return Reply;
  if (*Name == "running")
    Reply.Kind_ = FateReply::Kind::Running;
  if (*Name == "settled")
    Reply.Kind_ = FateReply::Kind::Settled;
  Reply.Answer_ = decodeDoorAnswer(std::move(Message));
  return Reply;
}

} // namespace lagoonhitch

#include "tests/standin/store_standin.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lagoonhitch {

namespace {

using Json = nlohmann::json;

/// Returns a parameter of the query string, empty if it is absent.
std::string queryParameter(const HttpRequest &Request,
                           const std::string &Name) {
  const std::size_t QueryStart = Request.Target_.find('?');
  if (QueryStart == std::string::npos)
    return {};
  for (const auto Part :
       absl::StrSplit(Request.Target_.substr(QueryStart + 1), '&')) {
    const std::pair<std::string, std::string> Field =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    if (Field.first == Name)
      return Field.second;
  }
  return {};
}

/// Returns a numeric parameter of the query string, 0 if it is absent or
/// malformed.
std::uint64_t numericParameter(const HttpRequest &Request,
                               const std::string &Name) {
  std::uint64_t Number = 0;
  const bool IsNumber =
      absl::SimpleAtoi(queryParameter(Request, Name), &Number);
  return IsNumber ? Number : 0;
}

void appendBigEndian(std::string &Data, std::uint64_t Number, unsigned Width) {
  for (unsigned Index = Width; Index > 0; --Index)
    Data.push_back(static_cast<char>((Number >> (8 * (Index - 1))) & 0xFFU));
}

/// Decodes the records of an append. Each one has its length (4 bytes), the
/// length of its key (1 byte), the key and the value.
std::vector<StoreRecord> decodeRecords(const std::string &Body) {
  std::vector<StoreRecord> Records;
  std::size_t Position = 0;
  while (Position + 5 <= Body.size()) {
    std::size_t Size = 0;
    for (std::size_t Index = 0; Index < 4; ++Index)
      Size = (Size << 8U) | static_cast<unsigned char>(Body[Position + Index]);
    Position += 4;
    const std::size_t KeySize = static_cast<unsigned char>(Body[Position]);
    StoreRecord Record;
    Record.Key_ = Body.substr(Position + 1, KeySize);
    Record.Value_ = Body.substr(Position + 1 + KeySize, Size - 1 - KeySize);
    Records.push_back(std::move(Record));
    Position += Size;
  }
  return Records;
}

void encodeRecord(const StoreRecord &Record, std::string &Data) {
  appendBigEndian(Data, 1 + Record.Key_.size() + Record.Value_.size(), 4);
  appendBigEndian(Data, Record.Key_.size(), 1);
  Data += Record.Key_ + Record.Value_;
}

HttpResponse jsonResponse(unsigned Status, const Json &Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.push_back({"Content-Type", "application/json"});
  Response.Body_ = Body.dump();
  return Response;
}

HttpResponse appendResponse(const AppendReply &Reply) {
  switch (Reply.Kind_) {
  case AppendReply::Kind::Done:
    return jsonResponse(200, {{"offset", Reply.Offset_}, {"end", Reply.End_}});
  case AppendReply::Kind::Conflict:
    return jsonResponse(412, {{"end", Reply.End_}});
  case AppendReply::Kind::Fenced:
    return jsonResponse(409, {{"why", "fenced"}});
  default:
    return jsonResponse(503, Json::object());
  }
}

StoreAppend decodeAppend(const HttpRequest &Request) {
  StoreAppend Append;
  Append.Topic_ = queryParameter(Request, "topic");
  Append.Records_ = decodeRecords(Request.Body_);
  if (!queryParameter(Request, "at").empty())
    Append.ExpectedEnd_ = numericParameter(Request, "at");
  Append.Producer_ = queryParameter(Request, "producer");
  Append.Epoch_ = numericParameter(Request, "epoch");
  return Append;
}

} // namespace

StoreStandin::StoreStandin(IoLoop &Loop) : Loop_(Loop) {}

void StoreStandin::handle(const HttpRequest &Request,
                          const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target_ == "/_mode") {
    setMode(Request, *Exchange);
    return;
  }
  if (Down_) {
    Unanswered_.push_back(Exchange);
    return;
  }
  if (Rejects_) {
    Exchange->respond(jsonResponse(503, Json::object()));
    return;
  }
  if (Latency_.count() == 0) {
    dispatch(Request, Exchange);
    return;
  }
  Timers_.push_back(Loop_.after(
      Latency_, [this, Request, Exchange] { dispatch(Request, Exchange); }));
}

void StoreStandin::dispatch(const HttpRequest &Request,
                            const std::shared_ptr<HttpExchange> &Exchange) {
  if (Request.Target_.starts_with("/log-append"))
    append(Request, Exchange);
  else if (Request.Target_.starts_with("/log-read"))
    read(Request, Exchange);
  else if (Request.Target_.starts_with("/log-newest"))
    readNewest(Request, *Exchange);
  else
    Exchange->respond(jsonResponse(404, Json::object()));
}

void StoreStandin::append(const HttpRequest &Request,
                          const std::shared_ptr<HttpExchange> &Exchange) {
  const StoreAppend Append = decodeAppend(Request);
  if (ApplyDelay_.count() > 0) {
    Unanswered_.push_back(Exchange);
    Timers_.push_back(Loop_.after(ApplyDelay_, [this, Append] {
      appendRecords(State_, Append);
      completeLongPolls(Append.Topic_);
    }));
    return;
  }
  const AppendReply Reply = appendRecords(State_, Append);
  completeLongPolls(Append.Topic_);
  if (RepliesToLose_ > 0) {
    --RepliesToLose_;
    Unanswered_.push_back(Exchange);
    return;
  }
  Exchange->respond(appendResponse(Reply));
}

HttpResponse StoreStandin::makeReadResponse(const std::string &Topic,
                                            Offset From) const {
  const ReadReply Reply = readRecords(State_, Topic, From);
  HttpResponse Response;
  appendBigEndian(Response.Body_, Reply.End_, 8);
  appendBigEndian(Response.Body_, 0, 8);
  for (const StoreRecord &Record : Reply.Records_)
    encodeRecord(Record, Response.Body_);
  return Response;
}

void StoreStandin::read(const HttpRequest &Request,
                        const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string Topic = queryParameter(Request, "topic");
  const Offset From = numericParameter(Request, "from");
  if (!readRecords(State_, Topic, From).Records_.empty()) {
    Exchange->respond(makeReadResponse(Topic, From));
    return;
  }
  LongPolls_.push_back({Topic, From, Exchange, nullptr});
  const auto Poll = std::prev(LongPolls_.end());
  const std::chrono::milliseconds Timeout(numericParameter(Request, "wait-ms"));
  Poll->Timer_ = Loop_.after(Timeout, [this, Poll] {
    Poll->Exchange_->respond(makeReadResponse(Poll->Topic_, Poll->From_));
    LongPolls_.erase(Poll);
  });
}

void StoreStandin::completeLongPolls(const std::string &Topic) {
  for (auto Poll = LongPolls_.begin(); Poll != LongPolls_.end();) {
    const bool HasRecords =
        Poll->Topic_ == Topic &&
        !readRecords(State_, Topic, Poll->From_).Records_.empty();
    if (!HasRecords) {
      ++Poll;
      continue;
    }
    Poll->Exchange_->respond(makeReadResponse(Topic, Poll->From_));
    Poll = LongPolls_.erase(Poll);
  }
}

void StoreStandin::readNewest(const HttpRequest &Request,
                              HttpExchange &Exchange) const {
  const ReadReply Reply =
      readNewestPerKey(State_, queryParameter(Request, "topic"));
  Json Items = Json::array();
  for (const StoreRecord &Record : Reply.Records_)
    Items.push_back({{"key", Record.Key_},
                     {"value", absl::Base64Escape(Record.Value_)},
                     {"offset", Record.Offset_}});
  Exchange.respond(jsonResponse(
      200, {{"items", Items}, {"has-more", false}, {"end", Reply.End_}}));
}

void StoreStandin::setMode(const HttpRequest &Request, HttpExchange &Exchange) {
  const Json Mode = Json::parse(Request.Body_.text(), nullptr, false);
  if (!Mode.is_object()) {
    Exchange.respond(jsonResponse(400, Json::object()));
    return;
  }
  Down_ = Mode.value("down", Down_);
  Rejects_ = Mode.value("refuses", Rejects_);
  Latency_ = std::chrono::milliseconds(Mode.value("slow_ms", Latency_.count()));
  RepliesToLose_ = Mode.value("lose_answers", RepliesToLose_);
  ApplyDelay_ =
      std::chrono::milliseconds(Mode.value("act_late_ms", ApplyDelay_.count()));
  Exchange.respond(jsonResponse(200, Json::object()));
}

} // namespace lagoonhitch

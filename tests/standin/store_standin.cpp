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

/// Reads a parameter of the query.
std::string queryOf(const HttpRequest &Request, const std::string &Name) {
  const std::size_t Mark = Request.Target_.find('?');
  if (Mark == std::string::npos)
    return {};
  for (const auto Part :
       absl::StrSplit(Request.Target_.substr(Mark + 1), '&')) {
    const std::pair<std::string, std::string> Field =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    if (Field.first == Name)
      return Field.second;
  }
  return {};
}

std::uint64_t numberOf(const HttpRequest &Request, const std::string &Name) {
  std::uint64_t Number = 0;
  const bool Read = absl::SimpleAtoi(queryOf(Request, Name), &Number);
  return Read ? Number : 0;
}

void writeNumber(std::string &Data, std::uint64_t Number, unsigned Bytes) {
  for (unsigned Index = Bytes; Index > 0; --Index)
    Data.push_back(static_cast<char>((Number >> (8 * (Index - 1))) & 0xFFU));
}

/// Decodes the records of an append: length, key's length, key, value.
std::vector<StoreRecord> decodeRecords(const std::string &Body) {
  std::vector<StoreRecord> Records;
  std::size_t At = 0;
  while (At + 5 <= Body.size()) {
    std::size_t Size = 0;
    for (std::size_t Index = 0; Index < 4; ++Index)
      Size = (Size << 8U) | static_cast<unsigned char>(Body[At + Index]);
    At += 4;
    const std::size_t KeySize = static_cast<unsigned char>(Body[At]);
    StoreRecord Record;
    Record.Key_ = Body.substr(At + 1, KeySize);
    Record.Value_ = Body.substr(At + 1 + KeySize, Size - 1 - KeySize);
    Records.push_back(std::move(Record));
    At += Size;
  }
  return Records;
}

void encodeRecord(const StoreRecord &Record, std::string &Data) {
  writeNumber(Data, 1 + Record.Key_.size() + Record.Value_.size(), 4);
  writeNumber(Data, Record.Key_.size(), 1);
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
  StoreAppend Call;
  Call.Topic_ = queryOf(Request, "topic");
  Call.Records_ = decodeRecords(Request.Body_);
  if (!queryOf(Request, "at").empty())
    Call.At_ = numberOf(Request, "at");
  Call.Producer_ = queryOf(Request, "producer");
  Call.Epoch_ = numberOf(Request, "epoch");
  return Call;
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
    Silent_.push_back(Exchange);
    return;
  }
  if (Refuses_) {
    Exchange->respond(jsonResponse(503, Json::object()));
    return;
  }
  if (Slow_.count() == 0) {
    dispatch(Request, Exchange);
    return;
  }
  Timers_.push_back(Loop_.after(
      Slow_, [this, Request, Exchange] { dispatch(Request, Exchange); }));
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
  const StoreAppend Call = decodeAppend(Request);
  if (ActLate_.count() > 0) {
    Silent_.push_back(Exchange);
    Timers_.push_back(Loop_.after(ActLate_, [this, Call] {
      appendTo(State_, Call);
      wake(Call.Topic_);
    }));
    return;
  }
  const AppendReply Reply = appendTo(State_, Call);
  wake(Call.Topic_);
  if (LoseAnswers_ > 0) {
    --LoseAnswers_;
    Silent_.push_back(Exchange);
    return;
  }
  Exchange->respond(appendResponse(Reply));
}

HttpResponse StoreStandin::batch(const std::string &Topic, Offset From) const {
  const ReadReply Reply = readFrom(State_, Topic, From);
  HttpResponse Response;
  writeNumber(Response.Body_, Reply.End_, 8);
  writeNumber(Response.Body_, 0, 8);
  for (const StoreRecord &Record : Reply.Records_)
    encodeRecord(Record, Response.Body_);
  return Response;
}

void StoreStandin::read(const HttpRequest &Request,
                        const std::shared_ptr<HttpExchange> &Exchange) {
  const std::string Topic = queryOf(Request, "topic");
  const Offset From = numberOf(Request, "from");
  if (!readFrom(State_, Topic, From).Records_.empty()) {
    Exchange->respond(batch(Topic, From));
    return;
  }
  Waiters_.push_back({Topic, From, Exchange, nullptr});
  const auto Added = std::prev(Waiters_.end());
  const std::chrono::milliseconds Wait(numberOf(Request, "wait-ms"));
  Added->Timer_ = Loop_.after(Wait, [this, Added] {
    Added->Exchange_->respond(batch(Added->Topic_, Added->From_));
    Waiters_.erase(Added);
  });
}

void StoreStandin::wake(const std::string &Topic) {
  for (auto At = Waiters_.begin(); At != Waiters_.end();) {
    const bool Ready = At->Topic_ == Topic &&
                       !readFrom(State_, Topic, At->From_).Records_.empty();
    if (!Ready) {
      ++At;
      continue;
    }
    At->Exchange_->respond(batch(Topic, At->From_));
    At = Waiters_.erase(At);
  }
}

void StoreStandin::readNewest(const HttpRequest &Request,
                              HttpExchange &Exchange) const {
  const ReadReply Reply = readNewestOf(State_, queryOf(Request, "topic"));
  Json Items = Json::array();
  for (const StoreRecord &Record : Reply.Records_)
    Items.push_back({{"key", Record.Key_},
                     {"value", absl::Base64Escape(Record.Value_)},
                     {"offset", Record.Offset_}});
  Exchange.respond(jsonResponse(
      200, {{"items", Items}, {"has-more", false}, {"end", Reply.End_}}));
}

void StoreStandin::setMode(const HttpRequest &Request, HttpExchange &Exchange) {
  const Json Mode = Json::parse(Request.Body_, nullptr, false);
  if (!Mode.is_object()) {
    Exchange.respond(jsonResponse(400, Json::object()));
    return;
  }
  Down_ = Mode.value("down", Down_);
  Refuses_ = Mode.value("refuses", Refuses_);
  Slow_ = std::chrono::milliseconds(Mode.value("slow_ms", Slow_.count()));
  LoseAnswers_ = Mode.value("lose_answers", LoseAnswers_);
  ActLate_ =
      std::chrono::milliseconds(Mode.value("act_late_ms", ActLate_.count()));
  Exchange.respond(jsonResponse(200, Json::object()));
}

} // namespace lagoonhitch

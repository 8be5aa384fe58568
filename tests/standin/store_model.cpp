#include "tests/standin/store_model.h"

namespace lagoonhitch {

AppendReply appendTo(StoreModel &State, const StoreAppend &Call) {
  TopicModel &Topic = State.Topics_[Call.Topic_];
  AppendReply Reply;
  Reply.End_ = Topic.Records_.size();
  if (!Call.Producer_.empty()) {
    std::uint64_t &Shown = Topic.Epochs_[Call.Producer_];
    if (Call.Epoch_ < Shown) {
      Reply.Kind_ = AppendReply::Kind::Fenced;
      return Reply;
    }
    Shown = Call.Epoch_;
  }
  if (Call.At_ && *Call.At_ != Topic.Records_.size()) {
    Reply.Kind_ = AppendReply::Kind::Conflict;
    return Reply;
  }
  Reply.Kind_ = AppendReply::Kind::Done;
  Reply.Offset_ = Topic.Records_.size();
  for (StoreRecord Record : Call.Records_) {
    Record.Offset_ = Topic.Records_.size();
    Topic.Records_.push_back(std::move(Record));
  }
  Reply.End_ = Topic.Records_.size();
  return Reply;
}

ReadReply readFrom(const StoreModel &State, const std::string &Topic,
                   Offset From) {
  ReadReply Reply;
  Reply.Kind_ = ReadReply::Kind::Done;
  Reply.End_ = From;
  const auto Found = State.Topics_.find(Topic);
  if (Found == State.Topics_.end())
    return Reply;
  const TopicModel &Kept = Found->second;
  if (From < Kept.First_) {
    Reply.Kind_ = ReadReply::Kind::Expired;
    return Reply;
  }
  for (Offset At = From; At < Kept.Records_.size(); ++At)
    Reply.Records_.push_back(Kept.Records_[At]);
  Reply.End_ = std::max<Offset>(From, Kept.Records_.size());
  return Reply;
}

ReadReply readNewestOf(const StoreModel &State, const std::string &Topic) {
  ReadReply Reply;
  Reply.Kind_ = ReadReply::Kind::Done;
  const auto Found = State.Topics_.find(Topic);
  if (Found == State.Topics_.end())
    return Reply;
  std::map<std::string, StoreRecord> Newest;
  for (const StoreRecord &Record : Found->second.Records_)
    Newest[Record.Key_] = Record;
  for (const auto &[Key, Record] : Newest)
    if (!Record.Value_.empty())
      Reply.Records_.push_back(Record);
  Reply.End_ = Found->second.Records_.size();
  return Reply;
}

} // namespace lagoonhitch

#include "tests/standin/store_model.h"

namespace lagoonhitch {

AppendReply appendRecords(StoreModel &Model, const StoreAppend &Append) {
  TopicModel &Topic = Model.Topics_[Append.Topic_];
  AppendReply Reply;
  Reply.End_ = Topic.Records_.size();
  if (!Append.Producer_.empty()) {
    std::uint64_t &HighestEpoch = Topic.Epochs_[Append.Producer_];
    if (Append.Epoch_ < HighestEpoch) {
      Reply.Kind_ = AppendReply::Kind::Fenced;
      return Reply;
    }
    HighestEpoch = Append.Epoch_;
  }
  if (Append.ExpectedEnd_ && *Append.ExpectedEnd_ != Topic.Records_.size()) {
    Reply.Kind_ = AppendReply::Kind::Conflict;
    return Reply;
  }
  Reply.Kind_ = AppendReply::Kind::Done;
  Reply.Offset_ = Topic.Records_.size();
  for (StoreRecord Record : Append.Records_) {
    Record.Offset_ = Topic.Records_.size();
    Topic.Records_.push_back(std::move(Record));
  }
  Reply.End_ = Topic.Records_.size();
  return Reply;
}

ReadReply readRecords(const StoreModel &Model, const std::string &Topic,
                      Offset From) {
  ReadReply Reply;
  Reply.Kind_ = ReadReply::Kind::Done;
  Reply.End_ = From;
  const auto Found = Model.Topics_.find(Topic);
  if (Found == Model.Topics_.end())
    return Reply;
  const TopicModel &StoredTopic = Found->second;
  if (From < StoredTopic.FirstRetained_) {
    Reply.Kind_ = ReadReply::Kind::Expired;
    return Reply;
  }
  for (Offset Index = From; Index < StoredTopic.Records_.size(); ++Index)
    Reply.Records_.push_back(StoredTopic.Records_[Index]);
  Reply.End_ = std::max<Offset>(From, StoredTopic.Records_.size());
  return Reply;
}

ReadReply readNewestPerKey(const StoreModel &Model, const std::string &Topic) {
  ReadReply Reply;
  Reply.Kind_ = ReadReply::Kind::Done;
  const auto Found = Model.Topics_.find(Topic);
  if (Found == Model.Topics_.end())
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

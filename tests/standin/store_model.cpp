#include "tests/standin/store_model.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

AppendReply appendRecords(StoreModel &Model, const StoreAppend &Append) {
  TopicModel &Topic = Model.Topics_[Append.Topic_];
  AppendReply Reply;
  Reply.End_ = makeOffset(Model.Era_, Topic.Records_.size());
  if (!Append.Producer_.empty()) {
    std::uint64_t &HighestEpoch = Topic.Epochs_[Append.Producer_];
    if (Append.Epoch_ < HighestEpoch) {
      Reply.Kind_ = AppendReply::Kind::Fenced;
      return Reply;
    }
    HighestEpoch = Append.Epoch_;
  }
  if (Append.ExpectedEnd_ &&
      indexOf(*Append.ExpectedEnd_) != Topic.Records_.size()) {
    Reply.Kind_ = AppendReply::Kind::Conflict;
    return Reply;
  }
  Reply.Kind_ = AppendReply::Kind::Done;
  Reply.Offset_ = Reply.End_;
  Topic.Records_.insert(Topic.Records_.end(), Append.Records_.begin(),
                        Append.Records_.end());
  Reply.End_ = makeOffset(Model.Era_, Topic.Records_.size());
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
  const std::uint64_t First = indexOf(From);
  const bool Gone =
      eraOf(From) != Model.Era_ || First < StoredTopic.FirstRetained_;
  if (Gone) {
    Reply.Kind_ = ReadReply::Kind::Expired;
    return Reply;
  }
  for (std::uint64_t Index = First; Index < StoredTopic.Records_.size();
       ++Index) {
    Reply.Records_.push_back(StoredTopic.Records_[Index]);
    Reply.Records_.back().Offset_ = makeOffset(Model.Era_, Index);
  }
  Reply.End_ =
      std::max(From, makeOffset(Model.Era_, StoredTopic.Records_.size()));
  return Reply;
}

ReadReply readNewestPerKey(const StoreModel &Model, const std::string &Topic) {
  ReadReply Reply;
  Reply.Kind_ = ReadReply::Kind::Done;
  Reply.End_ = makeOffset(Model.Era_, 0);
  const auto Found = Model.Topics_.find(Topic);
  if (Found == Model.Topics_.end())
    return Reply;
  std::map<std::string, StoreRecord> Newest;
  std::uint64_t Index = 0;
  for (const StoreRecord &Record : Found->second.Records_)
    Newest[Record.Key_] = {Record.Key_, Record.Value_,
                           makeOffset(Model.Era_, Index++)};
  for (const auto &[Key, Record] : Newest)
    if (!Record.Value_.empty())
      Reply.Records_.push_back(Record);
  Reply.End_ = makeOffset(Model.Era_, Found->second.Records_.size());
  return Reply;
}

void restoreCopy(StoreModel &Model, StoreModel Copy) {
  Copy.Era_ = static_cast<StoreEra>(static_cast<std::uint32_t>(Model.Era_) + 1);
  Model = std::move(Copy);
}

} // namespace lagoonhitch

#include "recovery/attempt_table.h"

#include <algorithm>

namespace lagoonhitch {

namespace {

std::size_t bytesOf(const AnswerPtr &Result) {
  if (!Result)
    return 0;
  std::size_t Bytes = Result->Body_.size();
  for (const auto &[Name, Value] : Result->Headers_)
    Bytes += Name.size() + Value.size();
  return Bytes;
}

/// Drops the oldest of some stored answers. Its entry stays.
void dropOldest(AttemptTable &Table,
                std::deque<AttemptTable::StoredAnswer> &Answers) {
  Table.Entries_[Answers.front().Id_].Answer_ = nullptr;
  Table.Bytes_ -= Answers.front().Bytes_;
  Answers.pop_front();
}

void evictOldest(AttemptTable &Table) {
  const AttemptTable::Expiry &Oldest = Table.Expiries_.front();
  Table.EvictedUntil_ = std::max(Table.EvictedUntil_, Oldest.StartBy_);
  // The answers are in the order of their entries.
  for (auto *Answers : {&Table.DroppedFirst_, &Table.DroppedLast_})
    if (!Answers->empty() && Answers->front().Id_ == Oldest.Id_)
      dropOldest(Table, *Answers);
  Table.Entries_.erase(Oldest.Id_);
  Table.Expiries_.pop_front();
}

/// Stores the answer of an ended attempt, and drops others for it.
void storeAnswer(AttemptTable &Table, const RequestId &Id,
                 const AttemptEnd &End, const AttemptTableOptions &Options) {
  const std::size_t Bytes = bytesOf(End.Answer_);
  if (Bytes > Options.MaxBytes_)
    return;
  Table.Entries_[Id].Answer_ = End.Answer_;
  // Dropping it would make no room.
  if (Bytes == 0)
    return;
  Table.Bytes_ += Bytes;
  (End.DroppedFirst_ ? Table.DroppedFirst_ : Table.DroppedLast_)
      .push_back({Id, Bytes});
  while (Table.Bytes_ > Options.MaxBytes_)
    dropOldest(Table, Table.DroppedFirst_.empty() ? Table.DroppedLast_
                                                  : Table.DroppedFirst_);
}

void retain(AttemptTable &Table, const AttemptTable::Expiry &Entry,
            const AttemptTableOptions &Options, Instant Now) {
  Table.Expiries_.push_back(Entry);
  while (!Table.Expiries_.empty() &&
         (Table.Expiries_.front().DropAt_ < Now ||
          Table.Expiries_.size() > Options.MaxEntries_))
    evictOldest(Table);
}

bool mayBeEvicted(const AttemptTable &Table, Instant StartBy) {
  return Table.EvictedUntil_ != Instant::min() &&
         StartBy <= Table.EvictedUntil_ + StartBySkew;
}

} // namespace

bool beginAttempt(AttemptTable &Table, const RequestId &Id, Instant StartBy,
                  Instant Now) {
  if (Now > StartBy)
    return false;
  // An evicted entry may have recorded that this attempt was rejected.
  if (mayBeEvicted(Table, StartBy))
    return false;
  return Table.Entries_.try_emplace(Id).second;
}

void finishAttempt(AttemptTable &Table, const RequestId &Id, Instant StartBy,
                   const AttemptEnd &End, const AttemptTableOptions &Options,
                   Instant Now) {
  const auto Found = Table.Entries_.find(Id);
  if (Found == Table.Entries_.end() ||
      Found->second.Status_ != AttemptStatus::Running)
    return;
  Found->second.Status_ = AttemptStatus::Finished;
  storeAnswer(Table, Id, End, Options);
  const Instant DropAt = std::max(Now, StartBy) + Options.KeepFor_;
  retain(Table, {DropAt, StartBy, Id}, Options, Now);
}

std::optional<AttemptInfo> findAttempt(const AttemptTable &Table,
                                       const RequestId &Id) {
  const auto Found = Table.Entries_.find(Id);
  if (Found == Table.Entries_.end())
    return std::nullopt;
  return AttemptInfo{Found->second.Status_, Found->second.Answer_};
}

AttemptInfo lookUpAttempt(AttemptTable &Table, const RequestId &Id,
                          Instant StartBy, const AttemptTableOptions &Options,
                          Instant Now) {
  if (const std::optional<AttemptInfo> Known = findAttempt(Table, Id))
    return *Known;
  if (mayBeEvicted(Table, StartBy))
    return {AttemptStatus::Evicted, nullptr};
  AttemptTable::Entry Rejected;
  Rejected.Status_ = AttemptStatus::Rejected;
  Table.Entries_.emplace(Id, Rejected);
  retain(Table, {std::max(Now, StartBy) + Options.KeepFor_, StartBy, Id},
         Options, Now);
  return {AttemptStatus::Rejected, nullptr};
}

} // namespace lagoonhitch

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

void dropOldest(FateTable &Table) {
  const FateTable::Expiry &Oldest = Table.Expiries_.front();
  Table.ForgottenUntil_ = std::max(Table.ForgottenUntil_, Oldest.StartBy_);
  Table.Bytes_ -= Oldest.Bytes_;
  Table.Entries_.erase(Oldest.Id_);
  Table.Expiries_.pop_front();
}

/// Lets the oldest answers go while they take too much room.
void dropAnswers(FateTable &Table, const FateOptions &Options) {
  for (FateTable::Expiry &Oldest : Table.Expiries_) {
    if (Table.Bytes_ <= Options.MaxBytes_)
      return;
    Table.Entries_[Oldest.Id_].Answer_ = nullptr;
    Table.Bytes_ -= Oldest.Bytes_;
    Oldest.Bytes_ = 0;
  }
}

void keep(FateTable &Table, const FateTable::Expiry &Kept,
          const FateOptions &Options, Instant Now) {
  Table.Expiries_.push_back(Kept);
  Table.Bytes_ += Kept.Bytes_;
  while (!Table.Expiries_.empty() &&
         (Table.Expiries_.front().DropAt_ < Now ||
          Table.Expiries_.size() > Options.MaxEntries_))
    dropOldest(Table);
  dropAnswers(Table, Options);
}

bool mayBeForgotten(const FateTable &Table, Instant StartBy) {
  return Table.ForgottenUntil_ != Instant::min() &&
         StartBy <= Table.ForgottenUntil_ + FateSkew;
}

} // namespace

bool beginAttempt(FateTable &Table, const RequestId &Id, Instant StartBy,
                  Instant Now) {
  if (Now > StartBy)
    return false;
  // An entry that was dropped may have been a refusal of this very attempt.
  if (mayBeForgotten(Table, StartBy))
    return false;
  return Table.Entries_.try_emplace(Id).second;
}

void finishAttempt(FateTable &Table, const RequestId &Id, Instant StartBy,
                   const AnswerPtr &Result, const FateOptions &Options,
                   Instant Now) {
  const auto Found = Table.Entries_.find(Id);
  if (Found == Table.Entries_.end() || Found->second.Fate_ != Fate::Running)
    return;
  Found->second.Fate_ = Fate::Finished;
  Found->second.Answer_ = Result;
  const Instant DropAt = std::max(Now, StartBy) + Options.KeepFor_;
  keep(Table, {DropAt, StartBy, Id, bytesOf(Result)}, Options, Now);
}

FateReport lookUpFate(FateTable &Table, const RequestId &Id, Instant StartBy,
                      const FateOptions &Options, Instant Now) {
  const auto Found = Table.Entries_.find(Id);
  if (Found != Table.Entries_.end())
    return {Found->second.Fate_, Found->second.Answer_};
  if (mayBeForgotten(Table, StartBy))
    return {Fate::Forgotten, nullptr};
  FateTable::Entry Refusal;
  Refusal.Fate_ = Fate::Refused;
  Table.Entries_.emplace(Id, Refusal);
  keep(Table, {std::max(Now, StartBy) + Options.KeepFor_, StartBy, Id, 0},
       Options, Now);
  return {Fate::Refused, nullptr};
}

} // namespace lagoonhitch

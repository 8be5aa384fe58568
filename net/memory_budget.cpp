#include "net/memory_budget.h"

#include <algorithm>
#include <utility>

namespace lagoonhitch {

bool MemoryBudget::tryResize(BudgetEntry &Entry, std::size_t Bytes,
                             Instant Now) {
  if (!canFit(Entry, Bytes, Now))
    return false;
  while (!fits(Entry, Bytes, 0, 0)) {
    BudgetEntry *Stalled = largestStalled(&Entry, Now);
    if (Stalled == nullptr)
      return false;
    giveWay(*Stalled);
  }
  Entry.ProgressAt_ = Now;
  resize(Entry, Bytes);
  return true;
}

void MemoryBudget::resize(BudgetEntry &Entry, std::size_t Bytes) {
  if (isLarge(Entry.Bytes_))
    LargeBytes_ -= Entry.Bytes_;
  if (isLarge(Bytes))
    LargeBytes_ += Bytes;
  Bytes_ = Bytes_ - Entry.Bytes_ + Bytes;
  Entry.Bytes_ = Bytes;
  if (Bytes > 0 && Entry.GiveWay_)
    Incomplete_.insert(&Entry);
  else if (!Incomplete_.empty())
    Incomplete_.erase(&Entry);
}

void MemoryBudget::enforce(Instant Now) {
  while (isExceeded()) {
    BudgetEntry *Found = largestStalled(nullptr, Now);
    if (Found == nullptr)
      Found = longestWithoutProgress();
    if (Found == nullptr)
      return;
    giveWay(*Found);
  }
}

/// Returns whether a message of this size fits if others give way.
bool MemoryBudget::canFit(const BudgetEntry &Entry, std::size_t Bytes,
                          Instant Now) const {
  if (fits(Entry, Bytes, 0, 0))
    return true;
  std::size_t Freed = 0;
  std::size_t FreedLarge = 0;
  for (const BudgetEntry *Other : Incomplete_)
    if (Other != &Entry && isStalled(*Other, Now)) {
      Freed += Other->Bytes_;
      FreedLarge += isLarge(Other->Bytes_) ? Other->Bytes_ : 0;
    }
  return fits(Entry, Bytes, Freed, FreedLarge);
}

/// Returns whether a message of this size fits once others are smaller.
bool MemoryBudget::fits(const BudgetEntry &Entry, std::size_t Bytes,
                        std::size_t Freed, std::size_t FreedLarge) const {
  if (Bytes <= Entry.Bytes_)
    return true;
  const std::size_t Others = Bytes_ - Entry.Bytes_ - Freed;
  const std::size_t MaxLargeBytes =
      Options_.MaxBytes_ - std::min(Options_.MaxBytes_, Options_.SmallReserve_);
  const std::size_t OthersLarge =
      LargeBytes_ - (isLarge(Entry.Bytes_) ? Entry.Bytes_ : 0) - FreedLarge;
  const auto FitsInto = [Bytes](std::size_t Used, std::size_t Max) {
    return Used <= Max && Bytes <= Max - Used;
  };
  return FitsInto(Others, Options_.MaxBytes_) &&
         (!isLarge(Bytes) || FitsInto(OthersLarge, MaxLargeBytes));
}

BudgetEntry *MemoryBudget::largestStalled(const BudgetEntry *Except,
                                          Instant Now) const {
  BudgetEntry *Largest = nullptr;
  for (BudgetEntry *Entry : Incomplete_) {
    const bool Stalled = Entry != Except && isStalled(*Entry, Now);
    if (Stalled && (Largest == nullptr || Entry->Bytes_ > Largest->Bytes_))
      Largest = Entry;
  }
  return Largest;
}

BudgetEntry *MemoryBudget::longestWithoutProgress() const {
  const auto Found =
      std::min_element(Incomplete_.begin(), Incomplete_.end(),
                       [](const BudgetEntry *One, const BudgetEntry *Other) {
                         return One->ProgressAt_ < Other->ProgressAt_;
                       });
  return Found == Incomplete_.end() ? nullptr : *Found;
}

void MemoryBudget::giveWay(BudgetEntry &Entry) {
  const std::function<void()> Drop = std::exchange(Entry.GiveWay_, nullptr);
  resize(Entry, 0);
  Drop();
}

BudgetHold::BudgetHold(std::shared_ptr<MemoryBudget> Budget, std::size_t Bytes)
    : Budget_(std::move(Budget)) {
  Budget_->resize(Entry_, Bytes);
}

BudgetHold::~BudgetHold() {
  if (Budget_)
    Budget_->resize(Entry_, 0);
}

} // namespace lagoonhitch

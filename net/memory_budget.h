#ifndef LAGOONHITCH_NET_MEMORY_BUDGET_H
#define LAGOONHITCH_NET_MEMORY_BUDGET_H

/// \file
/// Shares a byte budget between the request bodies and responses that the
/// servers of a daemon hold.

#include "core/clock.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <set>

namespace lagoonhitch {

/// The size of a MemoryBudget. The default is no limit.
struct MemoryBudgetOptions {
  /// Maximum size of all messages.
  std::size_t MaxBytes_ = std::numeric_limits<std::size_t>::max();
  /// Part of MaxBytes_ that only small messages use.
  std::size_t SmallReserve_ = 0;
  /// Maximum size of a small message: a body of 64 KB and the buffer into which
  /// it is read.
  std::size_t SmallBytes_ = std::size_t{96} * 1024;
  /// Time without progress after which an incomplete message gives way to
  /// others. Shorter pauses occur in ordinary uploads while a loop is late.
  Duration StallTime_ = std::chrono::seconds(1);
};

/// A message, or a part of it, that counts in a MemoryBudget.
struct BudgetEntry {
  std::size_t Bytes_ = 0;
  /// When bytes were last received or sent.
  Instant ProgressAt_;
  /// Set while the message is being received or sent. Drops it and sets its
  /// size to zero; called at most once.
  std::function<void()> GiveWay_;
};

/// Decides which messages fit into the memory of a daemon. Large messages use
/// all of the budget but the reserve for small ones. If an incoming message
/// does not fit, the largest of those that are incomplete and have made no
/// progress gives way to it.
class MemoryBudget {
public:
  explicit MemoryBudget(MemoryBudgetOptions Options = {}) : Options_(Options) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  void setOptions(const MemoryBudgetOptions &Options) { Options_ = Options; }

  /// Sets the size of a message if it fits. Others may give way to it.
  bool tryResize(BudgetEntry &Entry, std::size_t Bytes, Instant Now);

  /// Sets the size of a message that is in memory already. Zero removes it.
  void resize(BudgetEntry &Entry, std::size_t Bytes);

  /// Lets incomplete messages give way until the others fit: those without
  /// progress, the largest first, then the ones without progress for the
  /// longest time.
  void enforce(Instant Now);

  /// Returns whether the messages exceed the budget.
  bool isExceeded() const { return Bytes_ > Options_.MaxBytes_; }

  /// Returns the size of all messages.
  std::size_t bytes() const { return Bytes_; }

private:
  bool isLarge(std::size_t Bytes) const { return Bytes > Options_.SmallBytes_; }
  bool isStalled(const BudgetEntry &Entry, Instant Now) const {
    return Now - Entry.ProgressAt_ >= Options_.StallTime_;
  }
  bool canFit(const BudgetEntry &Entry, std::size_t Bytes, Instant Now) const;
  bool fits(const BudgetEntry &Entry, std::size_t Bytes, std::size_t Freed,
            std::size_t FreedLarge) const;
  /// Returns the largest incomplete message without progress; nullptr if there
  /// is none.
  BudgetEntry *largestStalled(const BudgetEntry *Except, Instant Now) const;
  BudgetEntry *longestWithoutProgress() const;
  void giveWay(BudgetEntry &Entry);

  MemoryBudgetOptions Options_;
  std::size_t Bytes_ = 0;
  std::size_t LargeBytes_ = 0;
  /// The entries whose GiveWay_ is set.
  std::set<BudgetEntry *> Incomplete_;
};

/// Counts a complete message in a budget for as long as it exists.
class BudgetHold {
public:
  BudgetHold() = default;
  /// Counts the message although it may not fit.
  BudgetHold(std::shared_ptr<MemoryBudget> Budget, std::size_t Bytes);
  ~BudgetHold();
  BudgetHold(const BudgetHold &) = delete;
  BudgetHold &operator=(const BudgetHold &) = delete;

private:
  std::shared_ptr<MemoryBudget> Budget_;
  BudgetEntry Entry_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_MEMORY_BUDGET_H

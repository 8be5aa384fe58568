#ifndef LAGOONHITCH_CORE_BOUNDED_RING_H
#define LAGOONHITCH_CORE_BOUNDED_RING_H

/// \file
/// A bounded queue between threads.

#include <tbb/concurrent_queue.h>

#include <cstddef>
#include <utility>

namespace lagoonhitch {

/// A bounded multi-producer, multi-consumer queue on top of oneTBB.
template <typename T> class BoundedRing {
public:
  /// \param Capacity the maximum number of items.
  explicit BoundedRing(std::size_t Capacity) {
    Queue_.set_capacity(static_cast<std::ptrdiff_t>(Capacity));
  }

  /// Adds an item unless the queue is full; returns whether it was added.
  bool tryPush(T Item) { return Queue_.try_push(std::move(Item)); }

  /// Adds an item; blocks while the queue is full. Throws tbb::user_abort if
  /// close() is called meanwhile.
  void push(T Item) { Queue_.push(std::move(Item)); }

  /// Removes the oldest item if there is one; returns whether there was.
  bool tryPop(T &Item) { return Queue_.try_pop(Item); }

  /// Removes the oldest item; blocks while the queue is empty. Throws
  /// tbb::user_abort if close() is called meanwhile.
  void pop(T &Item) { Queue_.pop(Item); }

  /// Wakes all blocked threads with tbb::user_abort.
  void close() { Queue_.abort(); }

private:
  tbb::concurrent_bounded_queue<T> Queue_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_CORE_BOUNDED_RING_H

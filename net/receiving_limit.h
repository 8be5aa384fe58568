#ifndef LAGOONHITCH_NET_RECEIVING_LIMIT_H
#define LAGOONHITCH_NET_RECEIVING_LIMIT_H

/// \file
/// Shares a memory limit between the responses that a client is receiving.
/// Included only by the implementation files of net.

#include <cstddef>
#include <functional>
#include <set>

namespace lagoonhitch {

/// A response that is being received.
struct IncompleteResponse {
  /// Size of what was received.
  std::size_t Bytes_ = 0;
  /// Maximum size of the rest.
  std::size_t Left_ = 0;
  /// Set while reading is paused. Reads on; called at most once.
  std::function<void()> Resume_;
};

/// Decides which responses are read while all together are near their limit.
/// Small ones always are. Of the large ones, the one with the least left is,
/// and others as far as the limit leaves room for the rest of that one. So at
/// least one large response is read at any time, and the others can follow
/// when it has ended.
class ReceivingLimit {
public:
  /// \param MaxBytes maximum size of all responses.
  /// \param SmallBytes maximum size of a small response.
  ReceivingLimit(std::size_t MaxBytes, std::size_t SmallBytes);

  /// Sets the size of a response and of its rest; zero bytes remove it. May
  /// call Resume_ of others.
  void update(IncompleteResponse &Response, std::size_t Bytes,
              std::size_t Left);

  /// Pauses a large response. May call Resume_ of any response.
  void pause(IncompleteResponse &Response, std::function<void()> Resume);

  /// Returns whether a response may be read on.
  bool mayReadOn(const IncompleteResponse &Response) const;

  /// Returns whether all responses together are too large, and a large one
  /// must be dropped because pausing others has not helped.
  bool mustDrop(const IncompleteResponse &Response) const;

  /// Returns the size of all responses.
  std::size_t bytes() const { return Bytes_; }

private:
  bool isLarge(const IncompleteResponse &Response) const;
  /// Returns the large response with the least left; nullptr if there is none.
  const IncompleteResponse *nearestToEnd() const;
  void resumeOthers();

  std::size_t MaxBytes_;
  std::size_t SmallBytes_;
  std::size_t Bytes_ = 0;
  std::set<IncompleteResponse *> Large_;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_NET_RECEIVING_LIMIT_H

#ifndef LAGOONHITCH_STORE_STORE_H
#define LAGOONHITCH_STORE_STORE_H

/// \file
/// Interface to the platform's store.

#include "core/types.h"
#include "store/store_reply.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Provides topics that keep the newest record of each key indefinitely,
/// conditional appends, and fenced producers. Offsets of a later era of the
/// store are greater than those of an earlier one. Each callback is called
/// exactly once, on the event loop's thread, and never before the call has
/// returned.
class Store {
public:
  using AppendDone = std::function<void(AppendReply)>;
  using ReadDone = std::function<void(ReadReply)>;
  /// Refers to a read. The read continues if the handle is destroyed.
  using ReadHandle = std::shared_ptr<void>;

  virtual ~Store() = default;

  /// Appends a record of a key.
  /// \param ExpectedEnd the offset at which the topic must end; std::nullopt to
  /// append unconditionally.
  virtual void append(const std::string &Topic, const std::string &Key,
                      const std::string &Value,
                      std::optional<Offset> ExpectedEnd, AppendDone Done) = 0;

  /// Appends an epoch of a producer. The store rejects every lower epoch of the
  /// producer from then on.
  virtual void appendEpoch(const std::string &Producer, std::uint64_t Epoch,
                           AppendDone Done) = 0;

  /// Reads the records from an offset on. Waits up to Timeout for the first.
  virtual ReadHandle read(const std::string &Topic, Offset From,
                          std::chrono::milliseconds Timeout, ReadDone Done) = 0;

  /// Returns how much of the reply to a read has arrived, as a number of bytes
  /// that changes while the reply arrives. It is zero before the first byte and
  /// once the read has ended.
  virtual std::size_t receivedBytes(const ReadHandle &Read) const = 0;

  /// Reads the newest record of each key in a topic.
  virtual void readNewest(const std::string &Topic, ReadDone Done) = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_STORE_STORE_H

#ifndef LAGOONHITCH_STORE_STORE_H
#define LAGOONHITCH_STORE_STORE_H

/// \file
/// What the project needs of the platform's store.

#include "core/types.h"
#include "store/store_reply.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Topics that keep the newest record of each key for good, conditional
/// appends, and fenced producers. All callbacks are called once, on the loop's
/// thread, and never before the call has returned.
class Store {
public:
  using AppendDone = std::function<void(AppendReply)>;
  using ReadDone = std::function<void(ReadReply)>;

  virtual ~Store() = default;

  /// Appends a record of a key.
  /// \param At where the topic must end; nothing for wherever it does.
  virtual void append(const std::string &Topic, const std::string &Key,
                      const std::string &Value,
                      std::optional<Offset> ExpectedEnd, AppendDone Done) = 0;

  /// Shows an epoch of a producer; every lower one is refused from then on.
  virtual void appendEpoch(const std::string &Producer, std::uint64_t Epoch,
                           AppendDone Done) = 0;

  /// Waits until there are records from an offset on, and reads them.
  virtual void read(const std::string &Topic, Offset From,
                    std::chrono::milliseconds Timeout, ReadDone Done) = 0;

  /// Reads the newest record of each key.
  virtual void readNewest(const std::string &Topic, ReadDone Done) = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_STORE_STORE_H

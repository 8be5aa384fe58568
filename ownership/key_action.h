#ifndef LAGOONHITCH_OWNERSHIP_KEY_ACTION_H
#define LAGOONHITCH_OWNERSHIP_KEY_ACTION_H

/// \file
/// Actions that the decisions about key ownership request from the daemon.

#include "core/clock.h"
#include "ownership/key_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// An action for the daemon to carry out. Kind_ determines which fields are
/// set.
struct KeyAction {
  enum class Kind {
    /// Append Epoch_ of Host_ to the store.
    AppendEpoch,
    /// Append Table_ to the store if the topic ends at ExpectedEnd_.
    AppendTable,
    /// Grant the keys of Row_ to the upstream for the duration Hold_.
    Grant,
    /// Make the upstream release the keys of Row_.
    Release,
  };
  Kind Kind_ = Kind::AppendEpoch;
  std::string Host_;
  std::uint64_t Epoch_ = 0;
  KeyTable Table_;
  Offset ExpectedEnd_ = 0;
  /// Identifies the table append; pass it to onTableReply().
  std::uint64_t AppendId_ = 0;
  KeyRow Row_;
  Duration Hold_{};
  /// Grant: the latest time at which it may be sent, so that the hold ends
  /// before the lease.
  Instant SendBy_ = Instant::max();
};

using KeyActions = std::vector<KeyAction>;

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_ACTION_H

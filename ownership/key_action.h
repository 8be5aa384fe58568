#ifndef LAGOONHITCH_OWNERSHIP_KEY_ACTION_H
#define LAGOONHITCH_OWNERSHIP_KEY_ACTION_H

/// \file
/// What the duty for keys asks its daemon to do.

#include "core/clock.h"
#include "ownership/key_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonhitch {

/// What is to be done.
struct KeyAction {
  enum class Kind {
    /// Show Epoch_ of Hostname_ to the store.
    AppendEpoch,
    /// Append Table_ where the topic ends at ExpectedEnd_.
    AppendTable,
    /// Grant Row_ to the upstream for Hold_.
    Grant,
    /// Take the keys of Row_ back from the upstream.
    Release,
  };
  Kind Kind_ = Kind::AppendEpoch;
  std::string Host_;
  std::uint64_t Epoch_ = 0;
  KeyTable Table_;
  Offset ExpectedEnd_ = 0;
  /// The number of the append, to be handed in with its answer.
  std::uint64_t AppendId_ = 0;
  KeyRow Row_;
  Duration Hold_{};
};

using KeyActions = std::vector<KeyAction>;

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_ACTION_H

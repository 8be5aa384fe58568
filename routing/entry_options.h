#ifndef LAGOONHITCH_ROUTING_ENTRY_OPTIONS_H
#define LAGOONHITCH_ROUTING_ENTRY_OPTIONS_H

/// \file
/// Settings of the entry's decisions.

#include <chrono>
#include <cstdint>

namespace lagoonhitch {

/// Settings of the entry's decisions.
struct EntryOptions {
  /// Silence after which the owner is asked over a new connection.
  std::chrono::milliseconds SettleAfter_{300};
  /// Time between two such questions.
  std::chrono::milliseconds AskEvery_{100};
  /// How long an owner may stay unreachable before the entry gives up.
  std::chrono::milliseconds SettleLimit_{1500};
  /// Pause before the owner of a moving shard is looked for again.
  std::chrono::milliseconds OwnerPause_{20};
  /// Most upstreams of a shared service that are tried after refusals.
  std::uint32_t MaxShedRetries_ = 2;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_ROUTING_ENTRY_OPTIONS_H

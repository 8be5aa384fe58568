#ifndef LAGOONHITCH_OWNERSHIP_SHARD_HASH_H
#define LAGOONHITCH_OWNERSHIP_SHARD_HASH_H

/// \file
/// Maps keys to shards.

#include "core/types.h"

#include <string_view>

namespace lagoonhitch {

/// Returns the shard of a key, its XXH3 hash modulo the shard count. The shard
/// count must not be zero.
ShardId shardOfKey(std::string_view Key, std::uint32_t ShardCount);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_SHARD_HASH_H

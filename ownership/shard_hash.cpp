#include "ownership/shard_hash.h"

#include <xxhash.h>

namespace lagoonhitch {

ShardId shardOfKey(std::string_view Key, std::uint32_t ShardCount) {
  return static_cast<ShardId>(XXH3_64bits(Key.data(), Key.size()) % ShardCount);
}

} // namespace lagoonhitch

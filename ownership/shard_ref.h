#ifndef LAGOONHITCH_OWNERSHIP_SHARD_REF_H
#define LAGOONHITCH_OWNERSHIP_SHARD_REF_H

/// \file
/// Names one shard of one service.

#include "core/types.h"

#include <compare>
#include <string>

namespace lagoonhitch {

/// Names one shard of one service, at one token.
struct ShardRef {
  std::string Service_;
  ShardId Shard_ = 0;
  Token Token_ = 0;

  auto operator<=>(const ShardRef &) const = default;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_SHARD_REF_H

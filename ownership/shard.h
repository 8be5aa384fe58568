#ifndef LAGOONHITCH_OWNERSHIP_SHARD_H
#define LAGOONHITCH_OWNERSHIP_SHARD_H

/// \file
/// The ownership of one shard.

#include "core/types.h"

namespace lagoonhitch {

/// The ownership of one shard.
struct Shard {
  /// The member that owns the shard, or NoMember.
  MemberId Owner_ = NoMember;
  /// Grows by one with every change of the owner.
  Token Token_ = 0;
  /// The member that the shard is to be moved to, or NoMember.
  MemberId Target_ = NoMember;

  bool operator==(const Shard &) const = default;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_SHARD_H

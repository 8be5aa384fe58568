#ifndef LAGOONHITCH_CONTROL_ROUTING_VIEW_H
#define LAGOONHITCH_CONTROL_ROUTING_VIEW_H

/// \file
/// What the request path sees of the control state.

#include "control/control_state.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lagoonhitch {

/// An immutable copy of what the request path needs.
struct RoutingView {
  MemberId Self_ = NoMember;
  std::shared_ptr<const Table> Table_;
  /// Shards that are being released, with their tokens: no new work.
  std::map<ShardKey, Token> Releasing_;
  /// Shards that their old owners have released to this daemon before the
  /// log says so, with their new tokens.
  std::map<ShardKey, Token> Granted_;
  /// Shards taken over before the log says so, with their new tokens.
  std::map<ShardKey, Token> Inherited_;
};

/// Makes the view of the current state.
RoutingView makeView(const ControlState &State);

/// Returns the fencing token under which this daemon may serve a shard, or
/// nothing. The caller checks the lease as well.
std::optional<Token> servedToken(const RoutingView &View,
                                 const std::string &Service, ShardId Id);

} // namespace lagoonhitch

#endif // LAGOONHITCH_CONTROL_ROUTING_VIEW_H

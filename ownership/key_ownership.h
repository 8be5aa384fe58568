#ifndef LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_H
#define LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_H

/// \file
/// A daemon's decisions about the keys of its service: lease renewal, grants to
/// its upstream, planned moves, and the takeover of failed hosts.
///
/// The key table in the store is the only authority on who owns a key. A daemon
/// grants keys to its upstream only while the table names it with its current
/// epoch and the last acknowledged append of that epoch is younger than the
/// lease. Another daemon replaces such a row only after it has appended a
/// higher epoch for the unresponsive host and then waited longer than the
/// lease.

#include "core/clock.h"
#include "ownership/key_action.h"
#include "ownership/key_ownership_state.h"
#include "ownership/key_peer.h"
#include "ownership/key_table.h"
#include "store/store_reply.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonhitch {

/// Handles the newest table read from the store; older tables are ignored.
/// \param Table the table, std::nullopt if there is none yet.
/// \param End the offset at which the topic ends.
void onTable(KeyOwnershipState &State, const std::optional<KeyTable> &Table,
             Offset End, Instant Now);

/// Returns the actions that are due. Call it several times a second and after
/// each event.
KeyActions onKeyTick(KeyOwnershipState &State, const KeyOwnershipInputs &Inputs,
                     Instant Now);

/// Handles the store's reply to an append of this host's epoch.
/// \param SentAt when the append was sent; the lease is counted from there.
void onEpochReply(KeyOwnershipState &State, std::uint64_t Epoch,
                  AppendReply::Kind Result, Instant SentAt, Instant Now);

/// Handles the store's reply to an append of an unresponsive host's epoch.
void onTakeoverEpochReply(KeyOwnershipState &State, const std::string &Host,
                          std::uint64_t Epoch, AppendReply::Kind Result,
                          Instant Now);

/// Handles the store's reply to a table append. The reply is ignored if a read
/// has already resolved that append.
void onTableReply(KeyOwnershipState &State, std::uint64_t AppendId,
                  const AppendReply &Reply, Instant Now);

/// The result of a grant: accepted; answered that the upstream has seen a
/// higher fencing token, which may be a copy of the answer to an earlier grant;
/// not sent; or not known.
enum class GrantResult { Granted, HigherFence, Rejected, Unknown };

/// Handles the result of a grant.
/// \param SentAt when the grant was sent.
/// \param Hold how long the upstream may hold the keys.
void onGrantReply(KeyOwnershipState &State, const KeyRow &Row,
                  GrantResult Result, Instant SentAt, Duration Hold,
                  Instant Now);

/// Handles the result of a release.
/// \param Handover the data returned by the upstream, std::nullopt if it did
/// not answer.
void onReleaseReply(KeyOwnershipState &State, const KeyRow &Row,
                    const std::optional<std::string> &Handover, Instant Now);

/// Updates the state of the upstream on this host.
void onUpstream(KeyOwnershipState &State, const LocalUpstream &Upstream);

/// Returns whether a key can be served here now: the lease has not expired, the
/// key is not being moved, and the upstream is guaranteed to hold it.
bool canServeKey(const KeyOwnershipState &State, KeyId Key, Instant Now);

/// Returns whether the table assigns a key to this host. The upstream may not
/// hold it yet, or no longer; it will soon be held here or by the host that it
/// moves to.
bool ownsKey(const KeyOwnershipState &State, KeyId Key);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_H

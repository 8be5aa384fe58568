#ifndef LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_H
#define LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_H

/// \file
/// A daemon's decisions about the keys of its service: its lease, what its
/// upstream holds, planned moves, and the take-over of silent hosts.
///
/// The table in the store alone says who owns a key. A daemon lets its
/// upstream hold keys only while the table names it with its present epoch and
/// an acknowledged showing of that epoch is younger than the lease. Another
/// daemon replaces such a row only after it has shown a higher epoch of the
/// silent host and has waited for longer than the lease.

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

/// Takes the newest table that was read; older ones are passed over.
/// \param End where the topic ends.
void onTable(KeyOwnershipState &State, const std::optional<KeyTable> &Table,
             Offset End, Instant Now);

/// Decides what is due. To be called several times a second and after each
/// event.
KeyActions onKeyTick(KeyOwnershipState &State, const KeyOwnershipInputs &Inputs,
                     Instant Now);

/// Takes the answer to a showing of this host's epoch.
void onEpochReply(KeyOwnershipState &State, std::uint64_t Epoch,
                  AppendReply::Kind Result, Instant SentAt, Instant Now);

/// Takes the answer to a showing of a silent host's epoch.
void onTakeoverEpochReply(KeyOwnershipState &State, const std::string &Host,
                          std::uint64_t Epoch, AppendReply::Kind Result,
                          Instant Now);

/// Takes the answer to an append of a table; one to an append that was settled
/// by a read is passed over.
void onTableReply(KeyOwnershipState &State, std::uint64_t AppendId,
                  const AppendReply &Reply, Instant Now);

/// How a grant has ended.
enum class GrantResult { Granted, HigherFence, Rejected, Unknown };

/// Takes the answer to a grant.
/// \param SentAt when the grant was sent, \param Hold for how long.
void onGrantReply(KeyOwnershipState &State, const KeyRow &Row,
                  GrantResult Result, Instant SentAt, Duration Hold,
                  Instant Now);

/// Takes the answer to a release; nothing if there was none.
void onReleaseReply(KeyOwnershipState &State, const KeyRow &Row,
                    const std::optional<std::string> &Handover, Instant Now);

/// Takes what is known of the upstream.
void onUpstream(KeyOwnershipState &State, const LocalUpstream &Upstream);

/// Returns whether the upstream surely holds a key that may be served.
bool canServeKey(const KeyOwnershipState &State, KeyId Key, Instant Now);

/// Returns whether a key is this daemon's by the table, though its upstream may
/// not hold it yet, or not any more: it will be held soon, here or by the host
/// that it moves to.
bool ownsKey(const KeyOwnershipState &State, KeyId Key);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_H

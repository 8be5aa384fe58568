#ifndef LAGOONHITCH_OWNERSHIP_DECLARED_HOLDS_H
#define LAGOONHITCH_OWNERSHIP_DECLARED_HOLDS_H

/// \file
/// Grants and releases of keys in the replies to the upstream's heartbeats.
///
/// A reply declares the complete set of rows that the upstream is to hold. The
/// upstream releases the other keys and reports that in a later heartbeat.
///
/// The upstream counts a hold from when it sent the heartbeat, and ignores a
/// reply that arrives more than AcknowledgementTime_ later. This host knows
/// only when the heartbeat was received, R, which is never earlier. So with a
/// clock that runs slow by the fraction d, the keys of a declaration are free
/// at R + Hold * (1 + d) at the latest; and at
/// R + AcknowledgementTime_ * (1 + d) if a later heartbeat reports them as not
/// held.

#include "core/clock.h"
#include "ownership/hold_report.h"
#include "ownership/key_ownership_state.h"
#include "ownership/key_table.h"

#include <optional>
#include <vector>

namespace lagoonhitch {

/// The keys that an upstream is to hold from now on.
struct HoldDeclaration {
  std::vector<KeyRow> Rows_;
  /// How long it may hold them, counted from when it sent the heartbeat.
  Duration Hold_{};
};

/// Handles an upstream's report: releases that it completes, and granted keys
/// that the upstream has not accepted. Reports are passed in the order in which
/// the upstream sent them; earlier ones that arrive late are left out.
void onHoldReport(KeyOwnershipState &State, const HoldReport &Report);

/// Returns what the reply to a heartbeat declares. The keys of planned moves
/// are left out and count as released by the upstream's next reports.
/// \param ReceivedAt when the heartbeat was received.
/// \returns std::nullopt if the reply must not change what the upstream holds:
/// without a lease, or before the table has this host's current epoch.
std::optional<HoldDeclaration> declareHolds(KeyOwnershipState &State,
                                            Instant ReceivedAt, Instant Now);

/// Returns whether a reply now would grant keys that the upstream does not hold
/// yet, or start the release of keys.
bool needsDeclaration(const KeyOwnershipState &State, Instant Now);

/// Ends the releases whose keys are free because the holds have expired.
void expireDeclaredHolds(KeyOwnershipState &State, Instant Now);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_DECLARED_HOLDS_H

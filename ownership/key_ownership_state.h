#ifndef LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_STATE_H
#define LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_STATE_H

/// \file
/// What a daemon remembers of its duty for the keys of its service.

#include "core/clock.h"
#include "ownership/key_ownership_options.h"
#include "ownership/key_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The upstream beside this daemon.
struct LocalUpstream {
  enum class State {
    /// Nothing was heard of it since this process started.
    Unknown,
    Serving,
    /// Alive, but its keys are to go elsewhere.
    Draining,
    /// Proven to have ended, or silent.
    Lost,
  };
  State State_ = State::Unknown;
  /// Whether a lost upstream has ended for certain.
  bool Terminated_ = false;
  std::string Id_;
  std::int64_t StartMillis_ = 0;
};

/// What the upstream beside this daemon holds, or may hold.
struct HeldKeys {
  KeyRow Row_;
  /// Whether the upstream has acknowledged the grant.
  bool Granted_ = false;
  bool GrantInFlight_ = false;
  /// Until when the upstream surely holds the keys.
  Instant GuaranteedUntil_ = Instant::min();
  /// Until when it may hold them at most, late grants included.
  Instant MayHoldUntil_ = Instant::min();
  Instant RenewAt_ = Instant::min();
};

/// A planned move of keys away from this daemon.
struct KeyMove {
  enum class Phase { Draining, Releasing, Released };
  KeyRange Range_;
  FencingToken Fence_ = 0;
  Phase Phase_ = Phase::Draining;
  std::string Handover_;
  /// From then on the upstream holds the keys no more, answered or not.
  Instant SafeAt_ = Instant::max();
  Instant StartedAt_;
};

/// The take-over of a silent host.
struct Takeover {
  /// The rows with lower epochs may be replaced.
  std::uint64_t Epoch_ = 0;
  /// When the epoch's showing was acknowledged; nothing while it is asked.
  std::optional<Instant> AcknowledgedAt_;
  bool AppendInFlight_ = false;
  Instant NextAppendAt_ = Instant::min();
  std::uint64_t EpochStep_ = 1;
};

/// A grant without an answer, which may take effect later.
struct ResidualGrant {
  KeyRange Range_;
  /// From then on it can't hold the keys any more.
  Instant Until_;
};

/// How a table was to be changed by an append that is not settled.
struct PendingAppend {
  KeyTable Table_;
  /// Where the topic must end for it.
  Offset ExpectedEnd_ = 0;
  /// Whether the call has ended without a clear answer.
  bool OutcomeUnknown_ = false;
  /// Tells the answers to this append from those to earlier ones.
  std::uint64_t AppendId_ = 0;
};

/// The state of a daemon's duty for its own service.
struct KeyOwnershipState {
  std::string Host_;
  KeyOwnershipOptions Options_;
  LocalUpstream Upstream_;

  std::uint64_t Epoch_ = 1;
  /// Whether a showing of Epoch_ was acknowledged.
  bool EpochAcknowledged_ = false;
  bool RenewalInFlight_ = false;
  /// How far Epoch_ is raised when a showing is refused.
  std::uint64_t EpochStep_ = 1;
  Instant LeaseUntil_ = Instant::min();
  Instant NextRenewalAt_ = Instant::min();

  KeyTable Table_;
  /// Where the topic of the table ends.
  Offset TopicEnd_ = 0;
  bool TableKnown_ = false;
  std::optional<PendingAppend> PendingAppend_;
  std::uint64_t LastAppendId_ = 0;
  Instant NextTableAppendAt_ = Instant::min();
  /// Appends in a row that another host's has come before.
  std::uint32_t ConsecutiveConflicts_ = 0;

  std::map<KeyId, HeldKeys> Held_;
  std::vector<KeyMove> Moves_;
  /// Whom the keys of each move go to, by their first key.
  std::map<KeyId, std::string> MoveTargets_;
  std::map<std::string, Takeover> Takeovers_;
  std::vector<KeyRow> GrantsInFlight_;
  std::vector<ResidualGrant> ResidualGrants_;
  /// Until when grants of this daemon's earlier process may hold keys.
  Instant UnknownHoldsEnd_ = Instant::min();
  Instant NextRebalanceAt_ = Instant::min();
  /// When the present members were first seen together, while there is no
  /// table.
  Instant MembershipStableSince_ = Instant::min();
  std::size_t StableMemberCount_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_STATE_H

#ifndef LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_STATE_H
#define LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_STATE_H

/// \file
/// The state of key ownership that a daemon keeps.

#include "core/clock.h"
#include "core/grant_method.h"
#include "ownership/hold_report.h"
#include "ownership/key_ownership_options.h"
#include "ownership/key_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The upstream on this daemon's host.
struct LocalUpstream {
  enum class State {
    /// No heartbeat received since this daemon started.
    Unknown,
    /// Alive and accepting keys.
    Serving,
    /// Alive, but its keys are to be moved to other hosts.
    Draining,
    /// Unresponsive, or its address refuses connections. Neither proves that
    /// its process has terminated: it may close its listening port and still
    /// run requests on open connections. It may hold its keys until their holds
    /// end.
    Lost,
  };
  State State_ = State::Unknown;
  /// Whether a lost upstream counts as terminated: its address refuses
  /// connections, and it has ended those that were open.
  bool Terminated_ = false;
  std::string Id_;
  /// Start of its process, in milliseconds since the Unix epoch.
  std::int64_t StartMillis_ = 0;
};

/// Keys that the upstream on this host holds or may hold.
struct HeldKeys {
  KeyRow Row_;
  /// Whether the upstream has acknowledged the grant.
  bool Granted_ = false;
  /// Whether a grant of these keys awaits its result.
  bool GrantInFlight_ = false;
  /// Until when the upstream is guaranteed to hold the keys.
  Instant GuaranteedUntil_ = Instant::min();
  /// Latest time until which it may hold them, including grants that take
  /// effect late.
  Instant MayHoldUntil_ = Instant::min();
  /// When the next grant is due.
  Instant RenewAt_ = Instant::min();
  /// When the last heartbeat was received whose reply declared the keys;
  /// std::nullopt if there is none.
  std::optional<Instant> DeclaredAt_;
  /// Whether the upstream's last report had all of the keys.
  bool Accepted_ = false;
  /// Number of consecutive reports without the keys after a reply declared
  /// them.
  std::uint32_t MissingReports_ = 0;
};

/// A planned move of keys from this host to another one.
struct KeyMove {
  /// Draining waits for the results of grants in flight, or for a heartbeat
  /// whose reply can start the release; Releasing for the result of the
  /// release, Released for SafeAt_ and the next table.
  enum class Phase { Draining, Releasing, Released };
  KeyRange Range_;
  /// The fencing token of the row when the move started.
  FencingToken Fence_ = 0;
  Phase Phase_ = Phase::Draining;
  /// Data that the upstream returned with the release; empty if none.
  std::string Handover_;
  /// From then on the upstream no longer holds the keys, whether it answered
  /// the release or not.
  Instant SafeAt_ = Instant::max();
  Instant StartedAt_;
  /// The parts that the upstream has reported as released so far.
  std::vector<ReportedRelease> ReleasedParts_;
};

/// The takeover of an unresponsive host's keys.
struct Takeover {
  /// The epoch appended for the host; its rows with lower epochs may be
  /// replaced once the lease is over.
  std::uint64_t Epoch_ = 0;
  /// When the store acknowledged the epoch; std::nullopt before that.
  std::optional<Instant> AcknowledgedAt_;
  /// Whether an append of the epoch awaits its reply.
  bool AppendInFlight_ = false;
  /// Earliest time of the next append of the epoch.
  Instant NextAppendAt_ = Instant::min();
  /// By how much Epoch_ is raised when the store has a higher one.
  std::uint64_t EpochStep_ = 1;
};

/// A grant that may still be in effect or take effect, although its result is
/// unknown or HeldKeys_ no longer has an entry for it.
struct ResidualGrant {
  KeyRange Range_;
  /// From then on the upstream can no longer hold the keys because of it.
  Instant Until_;
};

/// A table append that is not resolved yet.
struct PendingAppend {
  KeyTable Table_;
  /// Offset at which the topic must end for the append to succeed.
  Offset ExpectedEnd_ = 0;
  /// Whether the call has ended without success. The append may have taken
  /// effect, or may still do so. It is sent again until the topic has grown,
  /// and resolved by a table at or after ExpectedEnd_.
  bool OutcomeUnknown_ = false;
  /// Distinguishes replies to this append from those to earlier ones.
  std::uint64_t AppendId_ = 0;
};

/// A daemon's state of key ownership in its service.
struct KeyOwnershipState {
  std::string Host_;
  KeyOwnershipOptions Options_;
  GrantMethod GrantMethod_ = GrantMethod::Calls;
  LocalUpstream Upstream_;

  /// This host's lease epoch.
  std::uint64_t Epoch_ = 1;
  /// Whether the store has acknowledged Epoch_.
  bool EpochAcknowledged_ = false;
  /// Whether an append of Epoch_ awaits its reply.
  bool RenewalInFlight_ = false;
  /// By how much Epoch_ is raised when the store has a higher one.
  std::uint64_t EpochStep_ = 1;
  Instant LeaseUntil_ = Instant::min();
  /// When the next append of Epoch_ is due.
  Instant NextRenewalAt_ = Instant::min();

  KeyTable Table_;
  /// Offset at which the table's topic ends.
  Offset TopicEnd_ = 0;
  /// The latest known era of the store.
  StoreEra Era_{};
  /// When this daemon first knew of that era.
  Instant EraSince_ = Instant::min();
  /// The era of the table as the store has it. Table_ may have newer rows.
  StoreEra StoredTableEra_{};
  /// Whether the table in the store lacks rows of keys in HeldKeys_.
  bool StoreLacksHeldRows_ = false;
  /// Whether the table's topic has been read at least once.
  bool TopicRead_ = false;
  std::optional<PendingAppend> PendingAppend_;
  /// Number of the latest table append.
  std::uint64_t LastAppendId_ = 0;
  /// Earliest time of the next table append.
  Instant NextTableAppendAt_ = Instant::min();
  /// Consecutive table appends that failed because another host's came first.
  std::uint32_t ConsecutiveConflicts_ = 0;

  /// What the upstream holds or may hold, by the first key of each range.
  std::map<KeyId, HeldKeys> HeldKeys_;
  std::vector<KeyMove> Moves_;
  /// The target host of each move, by the first key of its range.
  std::map<KeyId, std::string> MoveTargets_;
  /// Takeovers in progress, by host.
  std::map<std::string, Takeover> Takeovers_;
  /// The rows of grants that await their result.
  std::vector<KeyRow> GrantsInFlight_;
  std::vector<ResidualGrant> ResidualGrants_;
  /// Until when the upstream may hold keys because of grants by an earlier
  /// process of this daemon.
  Instant EarlierProcessGrantsEnd_ = Instant::min();
  /// The keys that an earlier process may have granted. They stay here when
  /// they get a higher token: the upstream may apply the earlier grant last.
  std::vector<KeyRange> EarlierProcessKeys_;
  /// Where the table's topic ended when it was first read. Rows with fencing
  /// tokens up to this offset may be known to an earlier process.
  Offset FirstTopicEnd_ = 0;
  /// Earliest time of the next moves for load balance.
  Instant NextRebalanceAt_ = Instant::min();
  /// Since when the number of hosts that accept keys is unchanged, and that
  /// number. Used only while there is no table.
  Instant MembershipStableSince_ = Instant::min();
  std::size_t StableMemberCount_ = 0;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_OWNERSHIP_STATE_H

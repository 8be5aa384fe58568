#ifndef LAGOONHITCH_OWNERSHIP_KEY_DUTY_H
#define LAGOONHITCH_OWNERSHIP_KEY_DUTY_H

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
#include "ownership/key_duty_options.h"
#include "ownership/key_table.h"
#include "store/store_reply.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

/// The upstream beside this daemon.
struct OwnUpstream {
  enum class State {
    /// Nothing was heard of it since this process started.
    Unheard,
    Serving,
    /// Alive, but its keys are to go elsewhere.
    Leaving,
    /// Proven to have ended, or silent.
    Lost,
  };
  State State_ = State::Unheard;
  /// Whether a lost upstream has ended for certain.
  bool Proven_ = false;
  std::string Id_;
  std::int64_t Born_ = 0;
};

/// What the upstream beside this daemon holds, or may hold.
struct HeldKeys {
  KeyRow Row_;
  /// Whether the upstream has acknowledged the grant.
  bool Granted_ = false;
  bool InFlight_ = false;
  /// Until when the upstream surely holds the keys.
  Instant SureUntil_ = Instant::min();
  /// Until when it may hold them at most, late grants included.
  Instant MayHoldUntil_ = Instant::min();
  Instant RenewAt_ = Instant::min();
};

/// A planned move of keys away from this daemon.
struct KeyMove {
  enum class Phase { Draining, Releasing, Released };
  KeyRange Range_;
  Token Fence_ = 0;
  Phase Phase_ = Phase::Draining;
  std::string Handover_;
  /// From then on the upstream holds the keys no more, answered or not.
  Instant SafeAt_ = Instant::max();
  Instant Since_;
};

/// The take-over of a silent host.
struct Takeover {
  /// The rows with lower epochs may be replaced.
  std::uint64_t Epoch_ = 0;
  /// When the epoch's showing was acknowledged; nothing while it is asked.
  std::optional<Instant> ShownAt_;
  bool Asking_ = false;
  Instant AskAt_ = Instant::min();
  std::uint64_t Step_ = 1;
};

/// A grant without an answer, which may take effect later.
struct LateGrant {
  KeyRange Range_;
  /// From then on it can't hold the keys any more.
  Instant Until_;
};

/// How a table was to be changed by an append that is not settled.
struct PendingAppend {
  KeyTable Table_;
  /// Where the topic must end for it.
  Offset Base_ = 0;
  /// Whether the call has ended without a clear answer.
  bool Unclear_ = false;
  /// Tells the answers to this append from those to earlier ones.
  std::uint64_t Number_ = 0;
};

/// The state of a daemon's duty for its own service.
struct KeyDuty {
  std::string Host_;
  KeyDutyOptions Options_;
  OwnUpstream Upstream_;

  std::uint64_t Epoch_ = 1;
  /// Whether a showing of Epoch_ was acknowledged.
  bool Shown_ = false;
  bool Showing_ = false;
  /// How far Epoch_ is raised when a showing is refused.
  std::uint64_t EpochStep_ = 1;
  Instant LeaseUntil_ = Instant::min();
  Instant ShowAt_ = Instant::min();

  KeyTable Table_;
  /// Where the topic of the table ends.
  Offset End_ = 0;
  bool TableKnown_ = false;
  std::optional<PendingAppend> Append_;
  std::uint64_t Appends_ = 0;
  Instant AppendAt_ = Instant::min();

  std::map<KeyId, HeldKeys> Held_;
  std::vector<KeyMove> Moves_;
  /// Whom the keys of each move go to, by their first key.
  std::map<KeyId, std::string> MoveTargets_;
  std::map<std::string, Takeover> Takeovers_;
  std::vector<KeyRow> GrantsInFlight_;
  std::vector<LateGrant> LateGrants_;
  /// Until when grants of this daemon's earlier process may hold keys.
  Instant UnknownHoldsEnd_ = Instant::min();
  Instant RebalanceAt_ = Instant::min();
  /// When the present members were first seen together, while there is no
  /// table.
  Instant SettledSince_ = Instant::min();
  std::size_t SettledCount_ = 0;
};

/// Another host of the service as this daemon sees it.
struct KeyPeer {
  std::string Host_;
  std::string Upstream_;
  std::int64_t Born_ = 0;
  /// The lease epoch that it has told.
  std::uint64_t Epoch_ = 0;
  /// Whether it may be given keys.
  bool Serving_ = false;
  /// Whether it has got keys a moment ago.
  bool Settling_ = false;
  /// How long it has not been heard of.
  Duration Silence_{};
  /// Requests a second that it gets and that it bears.
  double Rate_ = 0;
  double Capacity_ = 1;
};

/// What the decisions of one moment rest on.
struct KeySurroundings {
  /// All hosts of the service, this one included, in the order of their names.
  std::vector<KeyPeer> Peers_;
  /// Requests a second for each key of this host, as far as they are known.
  const std::map<KeyId, double> *KeyRates_ = nullptr;
  /// How long this process has run.
  Duration Uptime_{};
};

/// What is to be done.
struct KeyAction {
  enum class Kind {
    /// Show Epoch_ of Host_ to the store.
    ShowEpoch,
    /// Append Table_ where the topic ends at Base_.
    AppendTable,
    /// Grant Row_ to the upstream for Hold_.
    Grant,
    /// Take the keys of Row_ back from the upstream.
    Release,
  };
  Kind Kind_ = Kind::ShowEpoch;
  std::string Host_;
  std::uint64_t Epoch_ = 0;
  KeyTable Table_;
  Offset Base_ = 0;
  /// The number of the append, to be handed in with its answer.
  std::uint64_t Number_ = 0;
  KeyRow Row_;
  Duration Hold_{};
};

using KeyActions = std::vector<KeyAction>;

/// Takes the newest table that was read; older ones are passed over.
/// \param End where the topic ends.
void onTable(KeyDuty &State, const std::optional<KeyTable> &Table, Offset End,
             Instant Now);

/// Decides what is due. To be called several times a second and after each
/// event.
KeyActions onKeyTick(KeyDuty &State, const KeySurroundings &Around,
                     Instant Now);

/// Takes the answer to a showing of this host's epoch.
void onShown(KeyDuty &State, std::uint64_t Epoch, AppendReply::Kind Result,
             Instant SentAt, Instant Now);

/// Takes the answer to a showing of a silent host's epoch.
void onTakeoverShown(KeyDuty &State, const std::string &Host,
                     std::uint64_t Epoch, AppendReply::Kind Result,
                     Instant Now);

/// Takes the answer to an append of a table; one to an append that was settled
/// by a read is passed over.
void onAppended(KeyDuty &State, std::uint64_t Number, const AppendReply &Reply,
                Instant Now);

/// How a grant has ended.
enum class GrantResult { Granted, HigherFence, Refused, Unknown };

/// Takes the answer to a grant.
/// \param SentAt when the grant was sent, \param Hold for how long.
void onGranted(KeyDuty &State, const KeyRow &Row, GrantResult Result,
               Instant SentAt, Duration Hold, Instant Now);

/// Takes the answer to a release; nothing if there was none.
void onReleased(KeyDuty &State, const KeyRow &Row,
                const std::optional<std::string> &Handover, Instant Now);

/// Takes what is known of the upstream.
void onUpstream(KeyDuty &State, const OwnUpstream &Upstream);

/// Returns whether the upstream surely holds a key that may be served.
bool servesKey(const KeyDuty &State, KeyId Key, Instant Now);

/// Returns whether a key is this daemon's by the table, though its upstream may
/// not hold it yet.
bool ownsKey(const KeyDuty &State, KeyId Key);

} // namespace lagoonhitch

#endif // LAGOONHITCH_OWNERSHIP_KEY_DUTY_H

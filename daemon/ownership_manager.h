#ifndef LAGOONHITCH_DAEMON_OWNERSHIP_MANAGER_H
#define LAGOONHITCH_DAEMON_OWNERSHIP_MANAGER_H

/// \file
/// Executes a daemon's ownership decisions for the keys of its service.

#include "core/clock.h"
#include "core/event_catalog.h"
#include "daemon/site_state.h"
#include "membership/contact_clock.h"
#include "membership/hot_key_report.h"
#include "net/header_names.h"
#include "ownership/declared_holds.h"
#include "ownership/key_ownership.h"
#include "ownership/key_rates.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonhitch {

class HttpClient;
struct HttpCallOptions;
class Store;

/// Identity of the host that an OwnershipManager runs on.
struct OwnershipManagerConfig {
  std::string Host_;
  /// The service whose keys are managed.
  std::string Service_;
  /// `ip:port` of the local upstream.
  std::string UpstreamAddress_;
  HeaderNames Names_;
};

/// Notifications from an OwnershipManager.
struct OwnershipCallbacks {
  /// The keys owned by this host or held by its upstream may have changed.
  std::function<void()> OnChanged_;
  /// The store has acknowledged a table that this daemon appended.
  std::function<void(const KeyTable &)> OnTableAppended_;
  /// The store holds a newer table than the known one.
  /// \param End where the table's topic ends.
  std::function<void(Offset End)> OnTableBehind_;
  /// Logs an event and what it is about.
  std::function<void(EventId, const std::string &)> LogEvent_;
};

/// Passes events to the ownership logic and executes the actions that it
/// returns. Serving thread only.
class OwnershipManager {
public:
  /// \param KeyStore holds the key table and the lease epochs.
  /// \param UpstreamClient sends grants and releases to the local upstream.
  OwnershipManager(const Clock &Time, Store &KeyStore,
                   HttpClient &UpstreamClient, const SiteState &Site,
                   OwnershipManagerConfig Config, KeyOwnershipOptions Options,
                   OwnershipCallbacks Callbacks);

  /// Handles a read of the service's table topic.
  /// \param Table the newest table; std::nullopt if none was read.
  /// \param End where the topic ends.
  void onTable(const std::optional<KeyTable> &Table, Offset End);

  /// Handles a later era of the store.
  void onStoreEra(StoreEra Era);

  /// Handles the keys that the local upstream reports in a heartbeat. Reports
  /// are passed in the order in which the upstream sent them.
  void onHoldReport(const HoldReport &Report);

  /// Returns what the reply to a heartbeat declares; std::nullopt if the
  /// upstream gets its keys by calls, or must keep what it holds.
  /// \param ReceivedAt when the heartbeat was received.
  std::optional<HoldDeclaration> declareHolds(Instant ReceivedAt);

  /// Returns whether the local upstream gets its keys in the replies to its
  /// heartbeats.
  bool usesHeartbeatReplies() const;

  /// Returns whether the upstream waits for keys, or has keys that it is to
  /// release, so that a reply to its heartbeat should not be delayed.
  bool needsDeclaration() const;

  /// Updates the state of the local upstream.
  void onUpstreamChanged(const LocalUpstream &Upstream);

  /// Decides and executes what is due. To be called several times a second.
  void tick();

  /// Returns whether the local upstream is guaranteed to hold a key now, so
  /// that requests for the key may run.
  bool serves(KeyId Key) const;

  /// Returns whether the table names this host as the owner of a key, whether
  /// or not the upstream holds it now.
  bool owns(KeyId Key) const { return ownsKey(State_, Key); }

  /// Counts a request for a key in the request rates.
  void countRequest(KeyId Key);

  /// Returns the recent rate of requests with a key, in requests per second.
  double requestRate() const { return KeyRates_.Total_; }

  /// Returns the hot keys of this host for its load digest.
  std::vector<HotKey> hotKeys() const { return reportedKeys(HotKeys_); }

  /// Returns the recent rate of requests with other keys if a key is hot;
  /// std::nullopt if it is not.
  std::optional<double> rateBesideHotKey(KeyId Key) const;

  /// Returns whether this host has gained keys so recently that its load does
  /// not reflect them yet.
  bool recentlyGainedKeys() const;

  /// Returns the ownership state, for diagnostics.
  const KeyOwnershipState &state() const { return State_; }

private:
  KeyOwnershipInputs inputs() const;
  void execute(const KeyAction &Action);
  void onNotExecuted(const KeyAction &Action);
  void appendEpoch(const KeyAction &Action);
  void appendTable(const KeyAction &Action);
  void onTableAppended(std::uint64_t Number, const AppendReply &Reply);
  HttpCallOptions callOptions(Duration Timeout) const;
  void grant(const KeyAction &Action);
  void release(const KeyAction &Action);
  void onOwnershipChanged();
  bool gainedSince(const std::string &Host, Offset End) const;
  void onTableChanged();
  void updateGrantMethod();
  void updateHotKeys(Instant Now);

  const Clock &Time_;
  Store &KeyStore_;
  HttpClient &UpstreamClient_;
  const SiteState &Site_;
  OwnershipManagerConfig Config_;
  OwnershipCallbacks Callbacks_;
  KeyOwnershipState State_;
  Instant StartedAt_;
  ContactClock ContactClock_;
  KeyRates KeyRates_;
  HotKeyReport HotKeys_;
  /// The rows of this host in the table at KnownTable_.
  std::vector<KeyRow> OwnRows_;
  Instant LastGainAt_ = Instant::min();
  std::size_t OwnedKeyCount_ = 0;
  /// The highest fencing token of each host in the table at KnownTable_.
  std::map<std::string, FencingToken> LastGains_;
  std::optional<Offset> KnownTable_;
  bool Ticking_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_OWNERSHIP_MANAGER_H

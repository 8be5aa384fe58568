#ifndef LAGOONHITCH_DAEMON_OWNERSHIP_MANAGER_H
#define LAGOONHITCH_DAEMON_OWNERSHIP_MANAGER_H

/// \file
/// Carries out a daemon's decisions about the keys of its service.

#include "core/clock.h"
#include "core/event_catalog.h"
#include "daemon/site_state.h"
#include "ownership/key_ownership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lagoonhitch {

class HttpClient;
class Store;

/// Where a OwnershipManager's host stands.
struct OwnershipManagerConfig {
  std::string Host_;
  std::string Service_;
  std::string UpstreamAddress_;
};

/// What a OwnershipManager tells other parts.
struct OwnershipCallbacks {
  /// The upstream holds other keys, or this daemon owns others.
  std::function<void()> OnChanged_;
  /// The table was changed by this daemon.
  std::function<void(const KeyTable &)> OnTableAppended_;
  /// The table in the store is newer than what is known.
  std::function<void(Offset End)> OnTableBehind_;
  /// Something to log.
  std::function<void(EventId, const std::string &)> LogEvent_;
};

/// Feeds events into ownership/key_duty.h and carries out its actions. Serving
/// thread only.
class OwnershipManager {
public:
  OwnershipManager(const Clock &Time, Store &KeyStore,
                   HttpClient &UpstreamClient, const SiteState &Site,
                   OwnershipManagerConfig Config, KeyOwnershipOptions Options,
                   OwnershipCallbacks Callbacks);

  /// Takes the newest table of the own service.
  void onTable(const std::optional<KeyTable> &Table, Offset End);

  /// Takes what is known of the upstream.
  void onUpstreamChanged(const LocalUpstream &Upstream);

  /// Decides what is due.
  void tick();

  bool serves(KeyId Key) const;
  bool owns(KeyId Key) const { return ownsKey(State_, Key); }

  /// Counts a request for a key.
  void countRequest(KeyId Key);

  /// Returns the requests a second for keys.
  double requestRate() const { return TotalRate_; }

  /// Returns whether keys came a moment ago.
  bool recentlyGainedKeys() const;

  const KeyOwnershipState &state() const { return State_; }

private:
  KeyOwnershipInputs inputs() const;
  void decayRates(Instant Now);
  void execute(const KeyActions &Actions);
  void appendEpoch(const KeyAction &Action);
  void appendTable(const KeyAction &Action);
  void onTableAppended(std::uint64_t Number, const AppendReply &Reply);
  void grant(const KeyAction &Action);
  void release(const KeyAction &Action);
  void onOwnershipChanged();

  const Clock &Time_;
  Store &KeyStore_;
  HttpClient &UpstreamClient_;
  const SiteState &Site_;
  OwnershipManagerConfig Config_;
  OwnershipCallbacks Callbacks_;
  KeyOwnershipState State_;
  Instant StartedAt_;
  std::map<KeyId, double> KeyRates_;
  double TotalRate_ = 0;
  Instant DecayedAt_;
  Instant LastGainAt_ = Instant::min();
  std::size_t OwnedKeyCount_ = 0;
  bool Ticking_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_OWNERSHIP_MANAGER_H

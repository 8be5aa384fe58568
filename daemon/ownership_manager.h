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

/// Where a KeyKeeper's host stands.
struct KeyKeeperPlace {
  std::string Host_;
  std::string Service_;
  std::string UpstreamAddress_;
};

/// What a KeyKeeper tells other parts.
struct KeyReports {
  /// The upstream holds other keys, or this daemon owns others.
  std::function<void()> Changed_;
  /// The table was changed by this daemon.
  std::function<void(const KeyTable &)> Table_;
  /// The table in the store is newer than what is known.
  std::function<void(Offset End)> Behind_;
  /// Something to log.
  std::function<void(EventId, const std::string &)> Event_;
};

/// Feeds events into ownership/key_duty.h and carries out its actions. Serving
/// thread only.
class KeyKeeper {
public:
  KeyKeeper(const Clock &Time, Store &Keys, HttpClient &Upstreams,
            const SiteState &Site, KeyKeeperPlace Place,
            KeyOwnershipOptions Options, KeyReports Reports);

  /// Takes the newest table of the own service.
  void onTable(const std::optional<KeyTable> &Table, Offset End);

  /// Takes what is known of the upstream.
  void onUpstream(const LocalUpstream &Upstream);

  /// Decides what is due.
  void tick();

  bool serves(KeyId Key) const;
  bool settles(KeyId Key) const { return ownsKey(Duty_, Key); }

  /// Counts a request for a key.
  void count(KeyId Key);

  /// Returns the requests a second for keys.
  double rate() const { return Rate_; }

  /// Returns whether keys came a moment ago.
  bool isSettling() const;

  const KeyOwnershipState &duty() const { return Duty_; }

private:
  KeyOwnershipInputs surroundings() const;
  void decayRates(Instant Now);
  void carryOut(const KeyActions &Actions);
  void showEpoch(const KeyAction &Action);
  void appendTable(const KeyAction &Action);
  void onTableAppended(std::uint64_t Number, const AppendReply &Reply);
  void grant(const KeyAction &Action);
  void release(const KeyAction &Action);
  void noteChange();

  const Clock &Time_;
  Store &Keys_;
  HttpClient &Upstreams_;
  const SiteState &Site_;
  KeyKeeperPlace Place_;
  KeyReports Reports_;
  KeyOwnershipState Duty_;
  Instant StartedAt_;
  std::map<KeyId, double> KeyRates_;
  double Rate_ = 0;
  Instant DecayedAt_;
  Instant GainedAt_ = Instant::min();
  std::size_t OwnedKeys_ = 0;
  bool Ticking_ = false;
};

} // namespace lagoonhitch

#endif // LAGOONHITCH_DAEMON_OWNERSHIP_MANAGER_H
